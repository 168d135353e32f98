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

// settingsEnv is the environment variable with the default path of the settings file. The
// platform sets it.
const settingsEnv = "GALENASTAIR_NODE_FILE"

// softLimitShare is the share of the process's memory limit that is the soft memory limit of
// the Go runtime. The rest is for goroutine stacks, kernel buffers and bursts.
const softLimitShare = 0.6

// boundedSoftLimitShare replaces softLimitShare if HeldMemory bounds the kernel's buffers too. With 0.6 and the
// budget full, the collector ran seven times a second on an instance of 144 MB.
const boundedSoftLimitShare = 0.66

// softLimit returns the soft memory limit of the Go runtime.
func softLimit(s settings.Gateway) int64 {
	if s.Load.HeldMemory > 0 {
		return int64(boundedSoftLimitShare * float64(s.MemoryLimit))
	}
	return int64(softLimitShare * float64(s.MemoryLimit))
}

var cmdGateway = command{
	name:    "gateway",
	summary: "serve callers on the users' platform until SIGTERM",
	usage:   "[-settings FILE]",
	run:     runGateway,
}

func runGateway(ctx context.Context, args []string, out, errOut io.Writer) error {
	f := flag.NewFlagSet("gateway", flag.ContinueOnError)
	f.SetOutput(errOut)
	path := f.String("settings", os.Getenv(settingsEnv), "settings file of the instance")
	if err := parseFlags(f, args); err != nil {
		return err
	}
	if *path == "" {
		return usageError("gateway", "-settings is required if %s is not set", settingsEnv)
	}
	s, err := settings.LoadGateway(*path)
	if err != nil {
		return err
	}
	debug.SetMemoryLimit(softLimit(s))
	logs := logline.New(out)
	writeErr := make(chan error, 1)
	writeCtx, cancelWrite := context.WithCancel(context.WithoutCancel(ctx))
	go func() { writeErr <- logs.Run(writeCtx) }()
	defer func() {
		cancelWrite()
		if err := <-writeErr; !errors.Is(err, context.Canceled) {
			fmt.Fprintln(errOut, "galenastair gateway: writing logs:", err)
		}
	}()
	logger := log.With(log.NewLogfmtLogger(logs), "ts", log.DefaultTimestampUTC, "instance", s.ID)
	logger.Log("event", "start", "zone", s.AvailabilityZone, "store", s.StoreAddress, "memory", int64(s.MemoryLimit))
	stop := onHangup(func() {
		if _, err := settings.LoadGateway(*path); err != nil {
			logger.Log("event", "reload", "err", err)
			return
		}
		logger.Log("event", "reload", "changed", "nothing: a running instance keeps its settings")
	})
	defer stop()
	return node.New(s, node.WithLogger(logger), node.WithDroppedLogLines(logs.Dropped)).Run(ctx)
}

// onHangup calls f on each SIGHUP, whose default action is to end the process.
func onHangup(f func()) (stop func()) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range signals {
			f()
		}
	}()
	return func() {
		signal.Stop(signals)
		close(signals)
		<-done
	}
}
