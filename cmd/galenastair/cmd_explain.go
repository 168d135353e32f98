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
	summary: "tell one request's way from the instances' logs, how all of them ended, or what was lost",
	usage:   "-id ID FILE... | -all FILE... | -losses FILE...",
	run:     runExplain,
}

func runExplain(_ context.Context, args []string, out, errOut io.Writer) error {
	f := flag.NewFlagSet("explain", flag.ContinueOnError)
	f.SetOutput(errOut)
	id := f.String("id", "", "the request's id")
	all := f.Bool("all", false, "count how all requests ended, and name those that nothing explains")
	losses := f.Bool("losses", false, "group the requests that were not answered by cause, time, model and organisation")
	if err := parseFlags(f, args); err != nil {
		return err
	}
	if chosen(*id != "", *all, *losses) != 1 || f.NArg() == 0 {
		return usageError("explain", "give one of -id, -all and -losses, and a FILE")
	}
	var lines []explain.Line
	for _, path := range f.Args() {
		text, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		lines = append(lines, readLines(text)...)
	}
	if *all {
		return explain.Count(lines).WriteText(out)
	}
	if *losses {
		return explain.Lose(lines).WriteText(out)
	}
	story := explain.Find(lines, *id)
	if len(story.Request) == 0 {
		return eris.Errorf("no line names request %s; are these the logs of all instances, and of that time?", *id)
	}
	for _, l := range story.Beliefs {
		fmt.Fprintln(out, "before  ", l)
	}
	for _, l := range story.Request {
		fmt.Fprintln(out, "request ", l)
	}
	fmt.Fprintln(out, "cause:  ", story.Cause())
	return nil
}

// chosen counts the flags that were given.
func chosen(flags ...bool) int {
	n := 0
	for _, f := range flags {
		if f {
			n++
		}
	}
	return n
}

// readLines reads the lines one by one, so that one that was cut, or is not ours, costs
// no other.
func readLines(text []byte) []explain.Line {
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
