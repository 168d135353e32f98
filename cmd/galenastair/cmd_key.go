package main

import (
	"bufio"
	"context"
	"crypto/rand"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"

	"galenastair"
	"galenastair/config"
	"galenastair/contract"
)

// keyPrefix lets people and scanners for leaked secrets tell what a key is.
const keyPrefix = "gsk-"

var cmdKey = command{
	name:    "key",
	summary: "give an organisation a new key, withdraw one for good, or print a key's hash",
	usage:   "give (-settings FILE | -log ADDRESS) ORGANISATION | withdraw (-settings FILE | -log ADDRESS) KEYHASH | hash <FILE",
	run:     runKey,
}

func runKey(ctx context.Context, args []string, out, errOut io.Writer) error {
	return subcommand("key", args, map[string]func([]string) error{
		"give":     func(args []string) error { return giveKey(ctx, args, out, errOut) },
		"withdraw": func(args []string) error { return withdrawKey(ctx, args, out, errOut) },
		"hash":     func(args []string) error { return readKey(args, out, errOut) },
	}, "give, withdraw, hash")
}

// parseKey reads the flags and the one word behind them.
func parseKey(name string, args []string, errOut io.Writer, what string) (*logFlags, string, error) {
	f := flag.NewFlagSet("key "+name, flag.ContinueOnError)
	f.SetOutput(errOut)
	flags := addLogFlags(f)
	if err := parseFlags(f, args); err != nil {
		return nil, "", err
	}
	if f.NArg() != 1 {
		return nil, "", usageError("key", "%s needs one %s behind its flags", name, what)
	}
	return flags, f.Arg(0), nil
}

// giveKey prints the key once, and only after its hash is in force.
func giveKey(ctx context.Context, args []string, out, errOut io.Writer) error {
	flags, o, err := parseKey("give", args, errOut, "ORGANISATION")
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, flags.timeout)
	defer cancel()
	p, _, err := flags.open(ctx, "key")
	if err != nil {
		return err
	}
	key := keyPrefix + rand.Text()
	hash := galenastair.HashKey(key)
	body := config.KeyGiven{Organisation: galenastair.Organisation(o), KeyHash: hash}
	if err := flags.change(ctx, p, config.KindKeyGiven, body, out); err != nil {
		return fmt.Errorf("key hash %s: %w", hash, err)
	}
	_, err = fmt.Fprintf(out, "hash=%s\nkey=%s\n", hash, key)
	return err
}

func withdrawKey(ctx context.Context, args []string, out, errOut io.Writer) error {
	flags, word, err := parseKey("withdraw", args, errOut, "KEYHASH")
	if err != nil {
		return err
	}
	hash := galenastair.KeyHash(word)
	if !contract.ValidKeyHash(hash) {
		// a key as an argument would stand in the shell's history and the list of processes
		return usageError("key", "that is no key hash; 'galenastair key hash' reads a key from its input and prints its hash")
	}
	ctx, cancel := context.WithTimeout(ctx, flags.timeout)
	defer cancel()
	p, v, err := flags.open(ctx, "key")
	if err != nil {
		return err
	}
	if _, known := v.LookupKey(hash); !known {
		fmt.Fprintln(errOut, "this key was never given; it is withdrawn beforehand, and nobody can be given it")
	}
	return flags.change(ctx, p, config.KindKeyWithdrawn, config.KeyWithdrawn{KeyHash: hash}, out)
}

func readKey(args []string, out, errOut io.Writer) error {
	f := flag.NewFlagSet("key hash", flag.ContinueOnError)
	f.SetOutput(errOut)
	if err := parseFlags(f, args); err != nil {
		return err
	}
	if f.NArg() > 0 {
		// a key as an argument would stand in the shell's history and the list of processes
		return usageError("key", "hash reads the key from its input")
	}
	return hashKey(os.Stdin, out)
}

func hashKey(in io.Reader, out io.Writer) error {
	line, err := bufio.NewReader(in).ReadString('\n')
	key := strings.TrimRight(line, "\r\n")
	if key == "" {
		return usageError("key", "no key on the input (%v)", err)
	}
	_, err = fmt.Fprintln(out, galenastair.HashKey(key))
	return err
}
