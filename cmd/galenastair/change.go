package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"galenastair"
	"galenastair/config"
	"galenastair/logservice"
	"galenastair/settings"
)

// defaultAuthor is the author of changes if neither -author nor USER is set.
const defaultAuthor = "operator"

// errRejected reports that the change was written to the log but not accepted, so that it has
// no effect.
var errRejected = eris.New("rejected")

// logFlags are the flags common to all commands that read or change the configuration.
type logFlags struct {
	settings string
	log      string
	author   string
	timeout  time.Duration
}

func addLogFlags(f *flag.FlagSet) *logFlags {
	var l logFlags
	author := os.Getenv("USER")
	if author == "" {
		author = defaultAuthor
	}
	f.StringVar(&l.settings, "settings", "", "settings file that contains the address of the platform's log")
	f.StringVar(&l.log, "log", "", "address of the platform's log, instead of -settings")
	f.StringVar(&l.author, "author", author, "author of the change")
	f.DurationVar(&l.timeout, "timeout", 30*time.Second, "maximum time to wait for the log")
	return &l
}

// openPublisher returns a publisher and the current configuration, read to the end of the log.
func (l *logFlags) openPublisher(ctx context.Context, name string) (*config.Publisher, *config.View, error) {
	address := l.log
	if address == "" && l.settings == "" {
		return nil, nil, usageError(name, "-settings or -log is required")
	}
	if address == "" {
		s, err := settings.Load(l.settings)
		if err != nil {
			return nil, nil, err
		}
		address = s.Platform.LogAddress
	}
	p := config.NewPublisher(logservice.New(address))
	v, err := p.CatchUp(ctx)
	return p, v, err
}

// publish appends one record and prints the result.
func (l *logFlags) publish(ctx context.Context, p *config.Publisher, kind galenastair.RecordKind, body any, out io.Writer) error {
	r, err := config.NewRecord(kind, l.author, body)
	if err != nil {
		return err
	}
	v, err := p.Publish(ctx, r)
	if errors.Is(err, config.ErrPublishUnknown) {
		return fmt.Errorf("%w: the change may still take effect; check the configuration before repeating it", err)
	}
	if err != nil {
		return err
	}
	if v.Outcome != config.Accepted {
		return fmt.Errorf("%w: %s", errRejected, v)
	}
	_, err = fmt.Fprintf(out, "accepted revision=%d kind=%s record=%s\n", v.Offset, kind, v.Record)
	return err
}

// runSubcommand runs the subcommand that the first argument names.
func runSubcommand(name string, args []string, subcommands map[string]func([]string) error, names string) error {
	if len(args) == 0 {
		return usageError(name, "missing subcommand: use one of %s", names)
	}
	if args[0] == "-h" || args[0] == "--help" {
		for sub := range strings.SplitSeq(names, ", ") {
			_ = subcommands[sub]([]string{"-h"})
		}
		return flag.ErrHelp
	}
	run, found := subcommands[args[0]]
	if !found {
		return usageError(name, "unknown subcommand %q: use one of %s", args[0], names)
	}
	return run(args[1:])
}
