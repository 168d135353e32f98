package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
)

// cases are the scripted cases by name. A case reports whether the rule was broken.
var cases = map[string]struct {
	gateways int
	play     func(f *fleet, trouble bool) (broken bool, err error)
}{
	"versions": {3, playVersions},
	"poison":   {3, playPoison},
	"part":     {3, playPart},
	"resume":   {3, playResume},
	"silent":   {3, playSilent},
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]].play == nil {
		fmt.Fprintln(os.Stderr, "usage: harness CASE REPOSITORY RECORD")
		os.Exit(exitCannotRun)
	}
	os.Exit(playCase(os.Args[1], os.Args[2], os.Args[3]))
}

func playCase(name, root, record string) int {
	rec, err := newRecorder(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	defer rec.close()
	c := cases[name]
	f, err := newFleet(root, rec, c.gateways)
	if f != nil {
		defer f.stop()
	}
	if err != nil {
		rec.summaryf("cannot run: %v", err)
		return exitCannotRun
	}
	trouble := os.Getenv("TROUBLE") != "0"
	broken, err := c.play(f, trouble)
	switch {
	case err != nil:
		rec.summaryf("cannot run: %v", err)
		return exitCannotRun
	case broken:
		rec.summaryf("the rule was broken")
		return exitBroken
	}
	rec.summaryf("the rule held")
	return exitHeld
}
