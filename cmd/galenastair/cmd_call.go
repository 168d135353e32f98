package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"galenastair"
	"galenastair/caller"
)

var cmdCall = command{
	name:    "call",
	summary: "send one request to an entry and show how it ended",
	usage:   "-entry ADDRESS [-key KEY] (-model NAME [-stream] | -service NAME/PATH) [TEXT]",
	run:     runCall,
}

func runCall(ctx context.Context, args []string, out, errOut io.Writer) error {
	var q caller.Question
	f := flag.NewFlagSet("call", flag.ContinueOnError)
	f.SetOutput(errOut)
	f.StringVar(&q.Entry, "entry", "", "callers' port of an entry")
	f.StringVar(&q.Key, "key", os.Getenv("GALENASTAIR_KEY"), "the organisation's key; GALENASTAIR_KEY by default")
	f.StringVar((*string)(&q.Model), "model", "", "the model or adapter to ask")
	f.BoolVar(&q.Stream, "stream", false, "ask for a streamed answer")
	f.StringVar(&q.Service, "service", "", "the service to call, and the path behind its name")
	f.StringVar((*string)(&q.IdempotencyKey), "idempotency-key", "", "name the request, so that it runs at most once")
	tokens := f.Int64("max-tokens", 16, "the longest answer")
	timeout := f.Duration("timeout", time.Minute, "how long to wait")
	if err := parseFlags(f, args); err != nil {
		return err
	}
	if q.Entry == "" || (q.Model == "") == (q.Service == "") {
		return usageError("call", "give -entry, and either -model or -service")
	}
	q.Text = strings.Join(f.Args(), " ")
	q.MaxTokens = galenastair.Tokens(*tokens)
	ctx, cancel := context.WithTimeout(ctx, *timeout)
	defer cancel()
	a, err := caller.Ask(ctx, http.DefaultClient, q)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "status=%d outcome=%s code=%s whole=%t request=%s text=%q\n", a.Status, a.Outcome, a.Code, a.Whole, a.RequestID, a.Text)
	return nil
}
