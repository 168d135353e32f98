// Command galenastair-standin provides stand-ins for the platform, model engines and
// plain services, for tests and the demo, and the benchmark and fault injection that
// use them.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
)

// command is a subcommand; the usage text is generated from the list of commands.
type command struct {
	name    string
	summary string
	run     func(ctx context.Context, args []string) error
}

var commands = []command{
	{"platform", "run the platform: log, instance list and weight store", runPlatform},
	{"engine", "run a model engine", runEngine},
	{"service", "run a plain service", runService},
	{"store", "run the metadata store of the users' platform", runStore},
	{"replica", "run a backend server of the users' platform", runReplica},
	{"slow", "run slow callers and a slow backend server around a gateway", runSlow},
	{"bench", "benchmark an engine directly and through an entry", runBench},
	{"prove", "inject faults into a running fleet and check its invariants", runProve},
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	err := dispatch(ctx, os.Args[1:], os.Stdout)
	stop()
	if err != nil && !errors.Is(err, flag.ErrHelp) {
		fmt.Fprintln(os.Stderr, "galenastair-standin:", err)
		os.Exit(1)
	}
}

func dispatch(ctx context.Context, args []string, out io.Writer) error {
	if len(args) == 0 || args[0] == "help" || args[0] == "-h" || args[0] == "--help" {
		usage(out)
		return nil
	}
	for _, c := range commands {
		if c.name == args[0] {
			return c.run(ctx, args[1:])
		}
	}
	usage(out)
	return fmt.Errorf("unknown command %q", args[0])
}

func usage(out io.Writer) {
	fmt.Fprintln(out, "usage: galenastair-standin COMMAND [flags]; -h after a command lists its flags")
	for _, c := range commands {
		fmt.Fprintf(out, "  %-10s %s\n", c.name, c.summary)
	}
}
