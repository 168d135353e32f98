package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/go-kit/log"

	"galenastair/logline"
	"galenastair/node"
	"galenastair/settings"
)

// settingsVariable names the settings file where no flag does; the platform sets it.
const settingsVariable = "GALENASTAIR_NODE_FILE"

// memoryShare is the part of the process's memory limit that the collector aims to
// stay below; the rest is for goroutine stacks, the kernel's buffers and bursts.
const memoryShare = 0.6

var cmdGateway = command{
	name:    "gateway",
	summary: "serve callers on the users' platform until told to stop (SIGTERM)",
	usage:   "[-settings FILE]",
	run:     runGateway,
}

func runGateway(ctx context.Context, args []string, out, errOut io.Writer) error {
	f := flag.NewFlagSet("gateway", flag.ContinueOnError)
	f.SetOutput(errOut)
	path := f.String("settings", os.Getenv(settingsVariable), "the instance's settings file")
	if err := parseFlags(f, args); err != nil {
		return err
	}
	if *path == "" {
		return usageError("gateway", "-settings is missing, and %s is not set", settingsVariable)
	}
	s, err := settings.LoadGateway(*path)
	if err != nil {
		return err
	}
	debug.SetMemoryLimit(int64(memoryShare * float64(s.Memory)))
	lines := logline.New(out)
	written := make(chan error, 1)
	writing, endWriting := context.WithCancel(context.WithoutCancel(ctx))
	go func() { written <- lines.Run(writing) }()
	defer func() {
		endWriting()
		if err := <-written; !errors.Is(err, context.Canceled) {
			fmt.Fprintln(errOut, "galenastair gateway: logs:", err)
		}
	}()
	logger := log.With(log.NewLogfmtLogger(lines), "ts", log.DefaultTimestampUTC, "instance", s.ID)
	logger.Log("event", "start", "zone", s.AvailabilityZone, "store", s.StoreAddress, "memory", int64(s.Memory))
	stop := onReload(func() {
		if _, err := settings.LoadGateway(*path); err != nil {
			logger.Log("event", "reload", "err", err)
			return
		}
		logger.Log("event", "reload", "changed", "nothing that a running instance takes over")
	})
	defer stop()
	return node.New(s, node.WithLogger(logger), node.WithDroppedLogLines(lines.Dropped)).Run(ctx)
}

// onReload calls f on each SIGHUP, which would else end the process.
func onReload(f func()) (stop func()) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for range signals {
			f()
		}
	}()
	return func() {
		signal.Stop(signals)
		close(signals)
		<-ended
	}
}
