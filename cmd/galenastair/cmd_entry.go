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
	summary: "serve callers until SIGTERM, then complete the requests in flight and exit",
	usage:   "-settings FILE",
	run:     runEntry,
}

func runEntry(ctx context.Context, args []string, _, errOut io.Writer) error {
	f := flag.NewFlagSet("entry", flag.ContinueOnError)
	f.SetOutput(errOut)
	path := f.String("settings", "", "settings file of the instance")
	if err := parseFlags(f, args); err != nil {
		return err
	}
	if *path == "" {
		return usageError("entry", "-settings is required")
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

// newLogger returns a logger that writes one logfmt line per event.
func newLogger(w io.Writer, s settings.Settings) log.Logger {
	logger := log.NewLogfmtLogger(log.NewSyncWriter(w))
	return log.With(logger, "ts", log.DefaultTimestampUTC, "instance", s.Instance.ID, "zone", s.Instance.AvailabilityZone)
}
