package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"strings"
)

// Exit statuses: 1 if a command failed, 2 if the command line was invalid.
const (
	exitFailed = 1
	exitUsage  = 2
)

// command is one command of galenastair, as listed by help.
type command struct {
	name    string
	summary string
	// usage lists the arguments after the name.
	usage string
	run   func(ctx context.Context, args []string, out, errOut io.Writer) error
}

// errUsage marks errors in the command line, for which dispatch returns exitUsage.
var errUsage = errors.New("usage")

// usageError returns an errUsage that says what is wrong and how to get help on the command.
func usageError(c, format string, args ...any) error {
	help := strings.TrimSpace("galenastair help " + c)
	return fmt.Errorf("%w: %s; run '%s'", errUsage, fmt.Sprintf(format, args...), help)
}

// parseFlags parses the flags of a command. An invalid flag is a usage error.
func parseFlags(f *flag.FlagSet, args []string) error {
	err := f.Parse(args)
	if err == nil || errors.Is(err, flag.ErrHelp) {
		return err
	}
	return fmt.Errorf("%w: %w", errUsage, err)
}

func dispatch(ctx context.Context, args []string, out, errOut io.Writer) int {
	if len(args) == 0 {
		writeHelp(errOut)
		return exitUsage
	}
	c, ok := findCommand(args[0])
	if !ok {
		fmt.Fprintf(errOut, "galenastair: unknown command %q; run 'galenastair help'\n", args[0])
		return exitUsage
	}
	err := c.run(ctx, args[1:], out, errOut)
	switch {
	case err == nil, errors.Is(err, flag.ErrHelp):
		return 0
	case errors.Is(err, errUsage):
		fmt.Fprintf(errOut, "galenastair %s: %v\n", c.name, err)
		return exitUsage
	default:
		fmt.Fprintf(errOut, "galenastair %s: %v\n", c.name, err)
		return exitFailed
	}
}
