package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"strings"
)

// exit statuses: 1 for work that failed, 2 for words that were off.
const (
	exitFailed = 1
	exitUsage  = 2
)

// command is one subcommand, as help lists it.
type command struct {
	name    string
	summary string
	// usage shows the arguments behind the name.
	usage string
	run   func(ctx context.Context, args []string, out, errOut io.Writer) error
}

// errUsage says that a command's words were off; the user has been told how.
var errUsage = errors.New("usage")

// usageError tells the user what was off and which command shows the accepted form.
func usageError(c, format string, args ...any) error {
	help := strings.TrimSpace("galenastair help " + c)
	return fmt.Errorf("%w: %s; run '%s'", errUsage, fmt.Sprintf(format, args...), help)
}

// parseFlags reads a command's flags; what is off is a usage error.
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
	c, ok := find(args[0])
	if !ok {
		fmt.Fprintf(errOut, "galenastair: no command %q; run 'galenastair help'\n", args[0])
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
