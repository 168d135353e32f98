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

// keyPrefix identifies a string as a key of this system, for people and for secret scanners.
const keyPrefix = "gsk-"

var cmdKey = command{
	name:    "key",
	summary: "give an organisation a new key, withdraw a key permanently, or print the hash of a key",
	usage:   "give (-settings FILE | -log ADDRESS) ORGANISATION | withdraw (-settings FILE | -log ADDRESS) KEYHASH | hash <FILE",
	run:     runKey,
}

func runKey(ctx context.Context, args []string, out, errOut io.Writer) error {
	return runSubcommand("key", args, map[string]func([]string) error{
		"give":     func(args []string) error { return giveKey(ctx, args, out, errOut) },
		"withdraw": func(args []string) error { return withdrawKey(ctx, args, out, errOut) },
		"hash":     func(args []string) error { return runHash(args, out, errOut) },
	}, "give, withdraw, hash")
}

// parseKeyFlags parses the flags and the one argument after them.
func parseKeyFlags(name string, args []string, errOut io.Writer, want string) (*logFlags, string, error) {
	f := flag.NewFlagSet("key "+name, flag.ContinueOnError)
	f.SetOutput(errOut)
	flags := addLogFlags(f)
	if err := parseFlags(f, args); err != nil {
		return nil, "", err
	}
	if f.NArg() != 1 {
		return nil, "", usageError("key", "%s requires one %s after the flags", name, want)
	}
	return flags, f.Arg(0), nil
}

// giveKey creates a key and prints it once its hash is in force. The key itself is not stored,
// so it cannot be printed again.
func giveKey(ctx context.Context, args []string, out, errOut io.Writer) error {
	flags, o, err := parseKeyFlags("give", args, errOut, "ORGANISATION")
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, flags.timeout)
	defer cancel()
	p, _, err := flags.openPublisher(ctx, "key")
	if err != nil {
		return err
	}
	key := keyPrefix + rand.Text()
	hash := galenastair.HashKey(key)
	body := config.KeyGiven{Organisation: galenastair.Organisation(o), KeyHash: hash}
	if err := flags.publish(ctx, p, config.KindKeyGiven, body, out); err != nil {
		return fmt.Errorf("key hash %s: %w", hash, err)
	}
	_, err = fmt.Fprintf(out, "hash=%s\nkey=%s\n", hash, key)
	return err
}

func withdrawKey(ctx context.Context, args []string, out, errOut io.Writer) error {
	flags, arg, err := parseKeyFlags("withdraw", args, errOut, "KEYHASH")
	if err != nil {
		return err
	}
	hash := galenastair.KeyHash(arg)
	if !contract.ValidKeyHash(hash) {
		// A key as an argument would be exposed in the shell history and the process list.
		return usageError("key", "the argument is not a key hash; 'galenastair key hash' reads a key from standard input and prints its hash")
	}
	ctx, cancel := context.WithTimeout(ctx, flags.timeout)
	defer cancel()
	p, v, err := flags.openPublisher(ctx, "key")
	if err != nil {
		return err
	}
	if _, known := v.LookupKey(hash); !known {
		fmt.Fprintln(errOut, "no organisation has a key with this hash; after the withdrawal it cannot be given to any")
	}
	return flags.publish(ctx, p, config.KindKeyWithdrawn, config.KeyWithdrawn{KeyHash: hash}, out)
}

func runHash(args []string, out, errOut io.Writer) error {
	f := flag.NewFlagSet("key hash", flag.ContinueOnError)
	f.SetOutput(errOut)
	if err := parseFlags(f, args); err != nil {
		return err
	}
	if f.NArg() > 0 {
		// A key as an argument would be exposed in the shell history and the process list.
		return usageError("key", "hash takes no arguments: it reads the key from standard input")
	}
	return hashKey(os.Stdin, out)
}

func hashKey(in io.Reader, out io.Writer) error {
	line, err := bufio.NewReader(in).ReadString('\n')
	key := strings.TrimRight(line, "\r\n")
	if key == "" {
		return usageError("key", "no key on standard input (%v)", err)
	}
	_, err = fmt.Fprintln(out, galenastair.HashKey(key))
	return err
}
