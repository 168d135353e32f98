package main

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"io"
	"os"

	"github.com/rotisserie/eris"

	"galenastair/explain"
)

var cmdExplain = command{
	name:    "explain",
	summary: "show from the instances' logs how one request was handled, how all requests ended, or why requests failed",
	usage:   "-id ID FILE... | -all FILE... | -losses FILE...",
	run:     runExplain,
}

func runExplain(_ context.Context, args []string, out, errOut io.Writer) error {
	f := flag.NewFlagSet("explain", flag.ContinueOnError)
	f.SetOutput(errOut)
	id := f.String("id", "", "the request's ID")
	all := f.Bool("all", false, "count how all requests ended, and list those whose end the logs don't explain")
	losses := f.Bool("losses", false, "group the requests that were not answered by cause, time, model and organisation")
	if err := parseFlags(f, args); err != nil {
		return err
	}
	if countTrue(*id != "", *all, *losses) != 1 || f.NArg() == 0 {
		return usageError("explain", "give one of -id, -all and -losses, and a FILE")
	}
	var lines []explain.Line
	for _, path := range f.Args() {
		text, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		lines = append(lines, parseLines(text)...)
	}
	if *all {
		return explain.NewAudit(lines).WriteText(out)
	}
	if *losses {
		return explain.NewFailureReport(lines).WriteText(out)
	}
	trace := explain.NewTrace(lines, *id)
	if len(trace.Request) == 0 {
		return eris.Errorf("no log line has request=%s; check that the files cover all instances and the time of the request", *id)
	}
	for _, l := range trace.StateChanges {
		fmt.Fprintln(out, "before  ", l)
	}
	for _, l := range trace.Request {
		fmt.Fprintln(out, "request ", l)
	}
	fmt.Fprintln(out, "cause:  ", trace.Cause())
	return nil
}

// countTrue returns how many of the flags are set.
func countTrue(flags ...bool) int {
	n := 0
	for _, f := range flags {
		if f {
			n++
		}
	}
	return n
}

// parseLines parses each line on its own, so that a line that is truncated or no logfmt is
// skipped without an effect on the others: the logfmt decoder stops at the first error.
func parseLines(text []byte) []explain.Line {
	var out []explain.Line
	for line := range bytes.Lines(text) {
		read, err := explain.Read(bytes.NewReader(line))
		if err != nil {
			continue
		}
		out = append(out, read...)
	}
	return out
}
