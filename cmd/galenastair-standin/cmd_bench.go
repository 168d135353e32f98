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
	f.StringVar(&c.Entry, "entry", "", "callers' address of the entry")
	f.IntVar(&c.EngineProcess, "engine-process", 0, "process id of the engine")
	f.IntVar(&c.EntryProcess, "entry-process", 0, "process id of the entry")
	f.StringVar(&c.Key, "key", "", "key of an organisation with a high rate")
	model := f.String("model", "model-1", "model to ask")
	rates := f.String("rates", "100,1000,2000", "requests a second, with commas between")
	f.DurationVar(&c.Duration, "duration", 5*time.Second, "how long each load lasts")
	f.IntVar(&c.Tokens, "tokens", 1, "tokens of a short request")
	f.IntVar(&c.Streams, "streams", 1000, "streams open at once; 0 leaves them out")
	f.DurationVar(&c.StreamRamp, "stream-ramp", 5*time.Second, "how long the streams take to open")
	f.IntVar(&c.StreamTokens, "stream-tokens", 300, "tokens of a stream")
	f.Float64Var(&c.StreamSlow, "stream-slow", 30, "how many times slower the engine's steps are for streams")
	f.Uint64Var(&c.Seed, "seed", 1, "seed of the arrivals")
	verify := f.Bool("verify", true, "compare each answer with what the engine must give")
	asJSON := f.Bool("json", false, "write JSON in place of a table")
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
		c.Want = func(q load.Question) string { return engine.Expected(q.Model, q.Prompt, q.Chat, q.Tokens) }
	}
	c.SetSlow = func(ctx context.Context, slow float64) error { return setSlow(ctx, c.Engine, slow) }
	rows, err := load.Bench(ctx, c)
	if err != nil {
		return err
	}
	if *asJSON {
		return json.NewEncoder(os.Stdout).Encode(rows)
	}
	return load.WriteBench(os.Stdout, rows)
}

// setSlow throws the engine's switch.
func setSlow(ctx context.Context, address string, slow float64) error {
	body, err := json.Marshal(engine.Switches{Slow: slow})
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
