package main

import (
	"context"
	"fmt"
	"io"
	"runtime"
)

// version is the latest release in CHANGELOG.md.
const version = "0.1.0"

var cmdVersion = command{
	name:    "version",
	summary: "print the version",
	run:     runVersion,
}

func runVersion(_ context.Context, _ []string, out, _ io.Writer) error {
	_, err := fmt.Fprintf(out, "galenastair %s (%s)\n", version, runtime.Version())
	return err
}
