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
	models := f.Int("models", 6, "number of models in the catalogue, named model-1, model-2 and so on")
	adapters := f.Int("adapters", 4, "number of adapters in the catalogue, named adapter-1, adapter-2 and so on")
	modelMemory := f.Int64("model-memory", 20<<30, "size of a model, in bytes")
	adapterMemory := f.Int64("adapter-memory", 1<<30, "size of an adapter, in bytes")
	catalogueFile := f.String("catalogue", "", "file with a JSON list of weights; replaces -models and -adapters")
	sw := platform.DefaultFaults()
	f.Float64Var(&sw.AppendsPerSecond, "appends", sw.AppendsPerSecond, "maximum number of appends per second; 0 means no limit")
	f.IntVar(&sw.KeepRecords, "keep-records", sw.KeepRecords, "number of records that a stream retains; 0 means all")
	f.DurationVar(&sw.KeepFor, "keep-for", sw.KeepFor, "how long records are retained; 0 means forever")
	f.DurationVar(&sw.AppendDelay, "append-delay", sw.AppendDelay, "duration of an append")
	f.DurationVar(&sw.ListLag, "list-lag", sw.ListLag, "age of the instance list that readers get")
	f.DurationVar(&sw.SilentAfter, "silent-after", sw.SilentAfter, "time without heartbeats after which an instance is removed from the list")
	speed := platform.DefaultWeightStoreConfig()
	f.DurationVar(&speed.ModelLoadTime, "model-load", speed.ModelLoadTime, "time to load a model at full speed")
	f.IntVar(&speed.ConcurrentModels, "models-at-once", speed.ConcurrentModels, "number of models that load at full speed concurrently")
	f.DurationVar(&speed.AdapterLoadTime, "adapter-load", speed.AdapterLoadTime, "time to load an adapter at full speed")
	f.IntVar(&speed.ConcurrentAdapters, "adapters-at-once", speed.ConcurrentAdapters, "number of adapters that load at full speed concurrently")
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
		platform.WithFaults(sw),
		platform.WithWeightStore(speed),
		platform.WithCatalogue(weights),
	)
	l, err := listen(*address)
	if err != nil {
		return err
	}
	handlerCtx, stop := context.WithCancel(context.Background())
	defer stop()
	return serve(ctx, l, p.HandlerWithContext(handlerCtx), stop)
}

func readCatalogue(name string) ([]galenastair.ModelWeights, error) {
	data, err := os.ReadFile(name)
	if err != nil {
		return nil, err
	}
	var weights []galenastair.ModelWeights
	return weights, json.Unmarshal(data, &weights)
}
