package main

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"galenastair"
	"galenastair/load"
	"galenastair/standin/engine"
)

func runBench(ctx context.Context, args []string) error {
	c := load.BenchConfig{}
	f := flag.NewFlagSet("bench", flag.ContinueOnError)
	f.StringVar(&c.Engine, "engine", "", "address of the engine")
	f.StringVar(&c.Entry, "entry", "", "address at which the entry accepts requests of callers")
	f.IntVar(&c.EnginePID, "engine-process", 0, "process id of the engine")
	f.IntVar(&c.EntryPID, "entry-process", 0, "process id of the entry")
	f.StringVar(&c.Key, "key", "", "API key of an organisation with a high rate limit")
	model := f.String("model", "model-1", "model of the requests")
	rates := f.String("rates", "100,1000,2000", "comma-separated list of rates in requests per second")
	f.DurationVar(&c.Duration, "duration", 5*time.Second, "duration of the load at each rate")
	f.IntVar(&c.Tokens, "tokens", 1, "tokens in the answer to a short request")
	f.IntVar(&c.Streams, "streams", 1000, "number of concurrent streams; 0 skips the streams")
	f.DurationVar(&c.StreamRamp, "stream-ramp", 5*time.Second, "time within which the streams are opened")
	f.IntVar(&c.StreamTokens, "stream-tokens", 300, "tokens in the answer of a stream")
	f.Float64Var(&c.StreamSlowdown, "stream-slow", 30, "factor by which the engine's steps are slower while streams run")
	f.Uint64Var(&c.Seed, "seed", 1, "seed of the arrival times")
	verify := f.Bool("verify", true, "compare each answer with the expected one")
	asJSON := f.Bool("json", false, "write JSON instead of a table")
	if err := f.Parse(args); err != nil {
		return err
	}
	c.Model = galenastair.ModelName(*model)
	for _, text := range strings.Split(*rates, ",") {
		rate, err := strconv.ParseFloat(text, 64)
		if err != nil {
			return err
		}
		c.Rates = append(c.Rates, rate)
	}
	if *verify {
		c.ExpectedText = func(q load.RequestParams) string { return engine.ExpectedText(q.Model, q.Prompt, q.Chat, q.Tokens) }
	}
	c.SetSlowdown = func(ctx context.Context, slow float64) error { return setSlowdown(ctx, c.Engine, slow) }
	rows, err := load.Bench(ctx, c)
	if err != nil {
		return err
	}
	if *asJSON {
		return json.NewEncoder(os.Stdout).Encode(rows)
	}
	return load.WriteBench(os.Stdout, rows)
}

// setSlowdown sets the factor by which the engine's steps are slower.
func setSlowdown(ctx context.Context, address string, slow float64) error {
	body, err := json.Marshal(engine.Faults{Slow: slow})
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/switches", bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}
