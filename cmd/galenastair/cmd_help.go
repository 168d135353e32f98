package main

import (
	"context"
	"fmt"
	"io"
	"strings"
)

const helpName = "help"

var cmdHelp = command{
	name:    helpName,
	summary: "list the commands, or describe one",
	usage:   "[COMMAND]",
	run:     runHelp,
}

func runHelp(ctx context.Context, args []string, out, errOut io.Writer) error {
	if len(args) == 0 {
		writeHelp(out)
		return nil
	}
	c, ok := findCommand(args[0])
	if !ok {
		return usageError("", "unknown command %q", args[0])
	}
	line := strings.TrimSpace("usage: galenastair " + c.name + " " + c.usage)
	fmt.Fprintf(out, "%s\n\n%s\n", line, c.summary)
	if c.usage == "" || c.name == helpName {
		return nil
	}
	// Only the command itself knows its flags; it prints them when run with -h.
	fmt.Fprintln(out)
	return c.run(ctx, []string{"-h"}, out, errOut)
}

func writeHelp(out io.Writer) {
	fmt.Fprintln(out, "usage: galenastair COMMAND [ARGUMENTS]")
	fmt.Fprintln(out)
	for _, c := range commands {
		fmt.Fprintf(out, "  %-10s %s\n", c.name, c.summary)
	}
	fmt.Fprintln(out, "\nrun 'galenastair help COMMAND' for the arguments of a command")
}
