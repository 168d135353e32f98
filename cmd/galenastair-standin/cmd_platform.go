package main

import (
	"context"
	"encoding/json"
	"flag"
	"os"

	"galenastair"
	"galenastair/standin/platform"
)

func runPlatform(ctx context.Context, args []string) error {
	f := flag.NewFlagSet("platform", flag.ContinueOnError)
	address := f.String("listen", "127.0.0.1:9000", "address to listen on")
	models := f.Int("models", 6, "models in the catalogue, model-1 and on")
	adapters := f.Int("adapters", 4, "adapters in the catalogue, adapter-1 and on")
	modelMemory := f.Int64("model-memory", 20<<30, "bytes of a model")
	adapterMemory := f.Int64("adapter-memory", 1<<30, "bytes of an adapter")
	catalogueFile := f.String("catalogue", "", "file with a JSON list of weights, in place of -models and -adapters")
	sw := platform.DefaultSwitches()
	f.Float64Var(&sw.AppendsPerSecond, "appends", sw.AppendsPerSecond, "appends a second; 0 is no limit")
	f.IntVar(&sw.KeepRecords, "keep-records", sw.KeepRecords, "records that a stream keeps; 0 is all")
	f.DurationVar(&sw.KeepFor, "keep-for", sw.KeepFor, "how long records are kept; 0 is for ever")
	f.DurationVar(&sw.AppendDelay, "append-delay", sw.AppendDelay, "how long an append takes")
	f.DurationVar(&sw.ListLag, "list-lag", sw.ListLag, "how old the list is that readers see")
	f.DurationVar(&sw.SilentAfter, "silent-after", sw.SilentAfter, "when an instance without heartbeats drops off the list")
	speed := platform.DefaultStoreSpeed()
	f.DurationVar(&speed.ModelLoad, "model-load", speed.ModelLoad, "how long a model takes to load")
	f.IntVar(&speed.ModelsAtOnce, "models-at-once", speed.ModelsAtOnce, "models that load at full speed together")
	f.DurationVar(&speed.AdapterLoad, "adapter-load", speed.AdapterLoad, "how long an adapter takes to load")
	f.IntVar(&speed.AdaptersAtOnce, "adapters-at-once", speed.AdaptersAtOnce, "adapters that load at full speed together")
	if err := f.Parse(args); err != nil {
		return err
	}
	weights := platform.Catalogue(*models, *adapters, galenastair.Bytes(*modelMemory), galenastair.Bytes(*adapterMemory))
	if *catalogueFile != "" {
		read, err := readCatalogue(*catalogueFile)
		if err != nil {
			return err
		}
		weights = read
	}
	p := platform.New(
		platform.WithSwitches(sw),
		platform.WithStoreSpeed(speed),
		platform.WithCatalogue(weights),
	)
	l, err := listen(*address)
	if err != nil {
		return err
	}
	stopping, stop := context.WithCancel(context.Background())
	defer stop()
	return serve(ctx, l, p.HandlerUntil(stopping), stop)
}

func readCatalogue(name string) ([]galenastair.Weight, error) {
	data, err := os.ReadFile(name)
	if err != nil {
		return nil, err
	}
	var weights []galenastair.Weight
	return weights, json.Unmarshal(data, &weights)
}
