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
	summary: "send one request to an entry and print the result",
	usage:   "-entry ADDRESS [-key KEY] (-model NAME [-stream] | -service NAME/PATH) [TEXT]",
	run:     runCall,
}

func runCall(ctx context.Context, args []string, out, errOut io.Writer) error {
	var q caller.Request
	f := flag.NewFlagSet("call", flag.ContinueOnError)
	f.SetOutput(errOut)
	f.StringVar(&q.Address, "entry", "", "address of the callers' port of an entry")
	f.StringVar(&q.Key, "key", os.Getenv("GALENASTAIR_KEY"), "key of the organisation; the default is GALENASTAIR_KEY")
	f.StringVar((*string)(&q.Model), "model", "", "model or adapter to send the request to")
	f.BoolVar(&q.Stream, "stream", false, "request a streamed answer")
	f.StringVar(&q.Service, "service", "", "service to call, followed by the path")
	f.StringVar((*string)(&q.IdempotencyKey), "idempotency-key", "", "idempotency key, so that the request runs at most once")
	tokens := f.Int64("max-tokens", 16, "maximum number of tokens of the answer")
	timeout := f.Duration("timeout", time.Minute, "maximum time to wait for the answer")
	if err := parseFlags(f, args); err != nil {
		return err
	}
	if q.Address == "" || (q.Model == "") == (q.Service == "") {
		return usageError("call", "-entry and either -model or -service are required")
	}
	q.Text = strings.Join(f.Args(), " ")
	q.MaxTokens = galenastair.Tokens(*tokens)
	ctx, cancel := context.WithTimeout(ctx, *timeout)
	defer cancel()
	a, err := caller.Send(ctx, http.DefaultClient, q)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "status=%d outcome=%s code=%s whole=%t request=%s text=%q\n", a.Status, a.Outcome, a.Code, a.Complete, a.RequestID, a.Text)
	return nil
}
