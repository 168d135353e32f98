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

// defaultAuthor stands in records of operators who give no name.
const defaultAuthor = "operator"

// errRejected says that the change is in the log and was not accepted.
var errRejected = eris.New("rejected")

// logFlags are the flags of all commands that read or change the configuration.
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
	f.StringVar(&l.settings, "settings", "", "a settings file that names the platform's log")
	f.StringVar(&l.log, "log", "", "the address of the platform's log, in place of -settings")
	f.StringVar(&l.author, "author", author, "who makes the change")
	f.DurationVar(&l.timeout, "timeout", 30*time.Second, "how long to wait for the log")
	return &l
}

// open returns a publisher that has read the configuration to its present end.
func (l *logFlags) open(ctx context.Context, name string) (*config.Publisher, *config.View, error) {
	address := l.log
	if address == "" && l.settings == "" {
		return nil, nil, usageError(name, "give -settings or -log")
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

// change appends one record and reports what became of it.
func (l *logFlags) change(ctx context.Context, p *config.Publisher, kind galenastair.RecordKind, body any, out io.Writer) error {
	r, err := config.NewRecord(kind, l.author, body)
	if err != nil {
		return err
	}
	v, err := p.Publish(ctx, r)
	if errors.Is(err, config.ErrPublishUnknown) {
		return fmt.Errorf("%w: it may still come into force; look again before making the change once more", err)
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

// subcommand picks one of a command's parts by its first word.
func subcommand(name string, args []string, parts map[string]func([]string) error, accepted string) error {
	if len(args) == 0 {
		return usageError(name, "say one of %s", accepted)
	}
	if args[0] == "-h" || args[0] == "--help" {
		for word := range strings.SplitSeq(accepted, ", ") {
			_ = parts[word]([]string{"-h"})
		}
		return flag.ErrHelp
	}
	part, found := parts[args[0]]
	if !found {
		return usageError(name, "%q is not one of %s", args[0], accepted)
	}
	return part(args[1:])
}
