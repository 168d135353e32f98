package main

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"io"
	"os"

	"github.com/rotisserie/eris"

	"galenastair/contract"
	"galenastair/settings"
)

var cmdCheck = command{
	name:    "check",
	summary: "check contract and settings files: code, line and accepted form of each problem",
	usage:   "FILE...",
	run:     runCheck,
}

func runCheck(_ context.Context, args []string, out, errOut io.Writer) error {
	f := flag.NewFlagSet("check", flag.ContinueOnError)
	f.SetOutput(errOut)
	if err := parseFlags(f, args); err != nil {
		return err
	}
	if f.NArg() == 0 {
		return usageError("check", "a FILE is missing")
	}
	wrong := 0
	for _, path := range f.Args() {
		if err := checkFile(path, out); err != nil {
			wrong++
			fmt.Fprintf(errOut, "%s: not valid\n%v\n", path, err)
		}
	}
	if wrong > 0 {
		return eris.Errorf("%d of %d files are not valid", wrong, f.NArg())
	}
	return nil
}

// checkFile prints the canonical form of a contract, so that its writer sees how it is read.
func checkFile(path string, out io.Writer) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	switch firstSection(text) {
	case "[Contract]":
	case "[Gateway]":
		if _, err := settings.ParseGateway(text); err != nil {
			return err
		}
		_, err = fmt.Fprintf(out, "%s: valid settings of a gateway\n", path)
		return err
	default:
		if _, err := settings.Parse(text); err != nil {
			return err
		}
		_, err = fmt.Fprintf(out, "%s: valid settings\n", path)
		return err
	}
	c, err := contract.Parse(text)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(out, "%s: valid contract\n%s", path, c.Canonical())
	return err
}

// firstSection tells contracts and both kinds of settings from each other.
func firstSection(text []byte) string {
	for line := range bytes.Lines(text) {
		line = bytes.TrimSpace(line)
		if bytes.HasPrefix(line, []byte("[")) {
			return string(line)
		}
	}
	return ""
}
