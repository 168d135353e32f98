package main

import (
	"context"
	"flag"
	"io"

	"github.com/go-kit/log"

	"galenastair/entry"
	"galenastair/settings"
)

var cmdEntry = command{
	name:    "entry",
	summary: "serve callers until told to stop (SIGTERM), then end without cutting a request",
	usage:   "-settings FILE",
	run:     runEntry,
}

func runEntry(ctx context.Context, args []string, _, errOut io.Writer) error {
	f := flag.NewFlagSet("entry", flag.ContinueOnError)
	f.SetOutput(errOut)
	path := f.String("settings", "", "the instance's settings file")
	if err := parseFlags(f, args); err != nil {
		return err
	}
	if *path == "" {
		return usageError("entry", "-settings is missing")
	}
	s, err := settings.Load(*path)
	if err != nil {
		return err
	}
	e, err := entry.New(s, entry.WithLogger(newLogger(errOut, s)))
	if err != nil {
		return err
	}
	return e.Run(ctx)
}

// newLogger writes one line for each event, in logfmt.
func newLogger(w io.Writer, s settings.Settings) log.Logger {
	logger := log.NewLogfmtLogger(log.NewSyncWriter(w))
	return log.With(logger, "ts", log.DefaultTimestampUTC, "instance", s.Instance.ID, "zone", s.Instance.AvailabilityZone)
}
