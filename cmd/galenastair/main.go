// Command galenastair serves many models on fewer accelerators.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

func main() {
	os.Exit(run())
}

func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	return dispatch(ctx, os.Args[1:], os.Stdout, os.Stderr)
}
