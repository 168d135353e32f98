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
	summary: "generate an open-loop load on entries and print latencies and outcomes",
	usage:   "-entry ADDRESS[,ADDRESS...] [-model NAME[,NAME...]] [-host HOST -path PATH] [-rate N] [-time D] [-json]",
	run:     runLoad,
}

// loadFlags holds the flags of the load command.
type loadFlags struct {
	entries, models  string
	route            load.Route
	source           load.Source
	config           load.Config
	asJSON           bool
	minCompleteShare float64
}

func (l *loadFlags) register(f *flag.FlagSet) {
	f.StringVar(&l.entries, "entry", "", "addresses of the callers' ports of the entries, separated by commas")
	f.StringVar(&l.models, "model", "", "models to send requests to, separated by commas")
	f.StringVar(&l.route.Host, "host", "", "host of the route on the users' platform; without it, requests use the entry's own API")
	f.StringVar(&l.route.Path, "path", "/", "path of the route on the users' platform")
	f.StringVar(&l.source.Key, "key", os.Getenv("GALENASTAIR_KEY"), "key of the organisation; the default is GALENASTAIR_KEY")
	f.StringVar((*string)(&l.source.Organisation), "organisation", "load", "name of the organisation in the result")
	f.Float64Var(&l.source.Rate, "rate", 10, "requests per second")
	f.IntVar(&l.source.Tokens, "tokens", 16, "tokens per answer")
	f.IntVar(&l.source.PromptBytes, "prompt-bytes", 200, "bytes per prompt")
	f.BoolVar(&l.source.Stream, "stream", true, "request streamed answers")
	f.BoolVar(&l.config.EvenlySpaced, "even", false, "space arrivals evenly instead of at random")
	f.DurationVar(&l.config.Duration, "time", 10*time.Second, "duration of the load")
	f.DurationVar(&l.config.Timeout, "timeout", 30*time.Second, "time-out of each request")
	f.IntVar(&l.config.MaxInFlight, "max-open", 4096, "maximum number of requests in flight; requests above it are counted as dropped")
	f.IntVar(&l.config.MaxRequests, "max-requests", 0, "maximum number of requests in total; 0 for no limit")
	f.Uint64Var(&l.config.Seed, "seed", 1, "seed of the arrival times and prompts")
	f.BoolVar(&l.asJSON, "json", false, "print the result as JSON")
	f.Float64Var(&l.minCompleteShare, "want-whole", 0, "fail if the share of requests with a complete answer is smaller")
}

func runLoad(ctx context.Context, args []string, out, errOut io.Writer) error {
	f := flag.NewFlagSet("load", flag.ContinueOnError)
	f.SetOutput(errOut)
	var l loadFlags
	l.register(f)
	if err := parseFlags(f, args); err != nil {
		return err
	}
	if l.entries == "" || l.models == "" && l.route.Host == "" {
		return usageError("load", "-entry and either -model or -host are required")
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
	return l.checkCompleteShare(result)
}

func (l *loadFlags) print(out io.Writer, r load.Result) error {
	if l.asJSON {
		return json.NewEncoder(out).Encode(r)
	}
	return r.WriteText(out)
}

func (l *loadFlags) checkCompleteShare(r load.Result) error {
	share := float64(r.All.Completed()) / float64(max(r.All.Requests, 1))
	if share < l.minCompleteShare {
		return eris.Errorf("%.4f of the requests got a complete answer; the minimum is %.4f", share, l.minCompleteShare)
	}
	return nil
}
