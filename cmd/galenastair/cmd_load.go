package main

import (
	"context"
	"encoding/json"
	"flag"
	"io"
	"os"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"galenastair"
	"galenastair/load"
)

var cmdLoad = command{
	name:    "load",
	summary: "put an open-loop load on entries and show latencies and outcomes",
	usage:   "-entry ADDRESS[,ADDRESS...] [-model NAME[,NAME...]] [-host HOST -path PATH] [-rate N] [-time D] [-json]",
	run:     runLoad,
}

// loadFlags are what the load command is told.
type loadFlags struct {
	entries, models string
	route           load.Route
	source          load.Source
	config          load.Config
	asJSON          bool
	wantWhole       float64
}

func (l *loadFlags) set(f *flag.FlagSet) {
	f.StringVar(&l.entries, "entry", "", "callers' ports of the entries, with commas between them")
	f.StringVar(&l.models, "model", "", "models to ask, with commas between them")
	f.StringVar(&l.route.Host, "host", "", "the route's host on the users' platform; the own interface is asked without one")
	f.StringVar(&l.route.Path, "path", "/", "the route's path there")
	f.StringVar(&l.source.Key, "key", os.Getenv("GALENASTAIR_KEY"), "the organisation's key; GALENASTAIR_KEY by default")
	f.StringVar((*string)(&l.source.Organisation), "organisation", "load", "the organisation's name in the result")
	f.Float64Var(&l.source.Rate, "rate", 10, "requests a second")
	f.IntVar(&l.source.Tokens, "tokens", 16, "tokens of each answer")
	f.IntVar(&l.source.PromptBytes, "prompt-bytes", 200, "bytes of each prompt")
	f.BoolVar(&l.source.Stream, "stream", true, "ask for streamed answers")
	f.BoolVar(&l.config.Even, "even", false, "space arrivals evenly instead of at random")
	f.DurationVar(&l.config.Duration, "time", 10*time.Second, "how long requests arrive")
	f.DurationVar(&l.config.Timeout, "timeout", 30*time.Second, "how long one request may take")
	f.IntVar(&l.config.MaxOpen, "max-open", 4096, "most requests open at once; more are counted as dropped")
	f.IntVar(&l.config.MaxRequests, "max-requests", 0, "most requests in all; 0 is no limit")
	f.Uint64Var(&l.config.Seed, "seed", 1, "arrivals and prompts come from it")
	f.BoolVar(&l.asJSON, "json", false, "print the result as JSON")
	f.Float64Var(&l.wantWhole, "want-whole", 0, "fail if a smaller share of the requests got a whole answer")
}

func runLoad(ctx context.Context, args []string, out, errOut io.Writer) error {
	f := flag.NewFlagSet("load", flag.ContinueOnError)
	f.SetOutput(errOut)
	var l loadFlags
	l.set(f)
	if err := parseFlags(f, args); err != nil {
		return err
	}
	if l.entries == "" || l.models == "" && l.route.Host == "" {
		return usageError("load", "-entry or -model is missing")
	}
	if l.route.Host != "" {
		l.source.Route = &l.route
	}
	for name := range strings.SplitSeq(l.models, ",") {
		if name != "" {
			l.source.Models = append(l.source.Models, galenastair.ModelName(name))
		}
	}
	l.config.Targets = strings.Split(l.entries, ",")
	l.config.Sources = []load.Source{l.source}
	result, err := load.Run(ctx, l.config)
	if err != nil {
		return err
	}
	if err := l.print(out, result); err != nil {
		return err
	}
	return l.judge(result)
}

func (l *loadFlags) print(out io.Writer, r load.Result) error {
	if l.asJSON {
		return json.NewEncoder(out).Encode(r)
	}
	return r.WriteText(out)
}

func (l *loadFlags) judge(r load.Result) error {
	share := float64(r.All.Whole()) / float64(max(r.All.Requests, 1))
	if share < l.wantWhole {
		return eris.Errorf("%.4f of the requests got a whole answer; %.4f were wanted", share, l.wantWhole)
	}
	return nil
}
