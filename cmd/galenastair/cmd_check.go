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
	summary: "check contract and settings files, and print the code, line and accepted form of each problem",
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
		return usageError("check", "at least one FILE is required")
	}
	invalid := 0
	for _, path := range f.Args() {
		if err := checkFile(path, out); err != nil {
			invalid++
			fmt.Fprintf(errOut, "%s: not valid\n%v\n", path, err)
		}
	}
	if invalid > 0 {
		return eris.Errorf("%d of %d files are not valid", invalid, f.NArg())
	}
	return nil
}

// checkFile validates a file. For a contract, it prints the canonical form, so that the author
// sees how it was parsed.
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

// firstSection returns the header of the first section, which distinguishes contracts, settings
// of gateways and settings of entries.
func firstSection(text []byte) string {
	for line := range bytes.Lines(text) {
		line = bytes.TrimSpace(line)
		if bytes.HasPrefix(line, []byte("[")) {
			return string(line)
		}
	}
	return ""
}
