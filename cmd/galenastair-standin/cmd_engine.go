package main

import (
	"context"
	"errors"
	"flag"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"galenastair"
	client "galenastair/logservice"
	"galenastair/standin/engine"
	"galenastair/standin/journal"
)

var errWeightNotFound = eris.New("weight not found in the catalogue")

func runEngine(ctx context.Context, args []string) error {
	s := engine.DefaultSettings()
	f := flag.NewFlagSet("engine", flag.ContinueOnError)
	address := f.String("listen", "127.0.0.1:0", "address to listen on")
	advertise := f.String("advertise", "", "address in the instance list; by default the address that it listens on")
	journalPath := f.String("journal", "", "file to which the engine appends each request that it runs")
	platformAddress := f.String("platform", "", "address of the platform; empty to run without one")
	id := f.String("id", "engine-"+uuid.NewString()[:8], "id in the instance list")
	zone := f.String("zone", "zone-1", "availability zone")
	preload := f.String("preload", "", "comma-separated names of weights that are loaded at the start")
	memory := f.Int64("memory", int64(s.Memory), "memory for weights, in bytes")
	cacheMemory := f.Int64("cache-memory", int64(s.CacheMemory), "memory for the KV cache, in bytes")
	f.DurationVar(&s.BaseStep, "step", s.BaseStep, "base duration of a step")
	f.DurationVar(&s.StepPerRequest, "step-request", s.StepPerRequest, "additional duration of a step for each request in the batch")
	f.DurationVar(&s.PrefillPerToken, "prefill-token", s.PrefillPerToken, "additional duration of a step for each new prompt token")
	f.IntVar(&s.MaxBatchSize, "batch", s.MaxBatchSize, "maximum number of requests in a batch")
	f.IntVar(&s.MaxQueueLength, "waiting", s.MaxQueueLength, "maximum number of waiting requests")
	f.DurationVar(&s.ReportLag, "report-lag", s.ReportLag, "age of reports")
	f.DurationVar(&s.EventLag, "event-lag", s.EventLag, "delay of cache events")
	f.Float64Var(&s.EventLossRate, "event-gaps", s.EventLossRate, "share of cache events that are lost")
	f.BoolVar(&s.ChecksFence, "checks-fence", s.ChecksFence, "refuse orders with an outdated fencing token")
	f.StringVar(&s.Poison, "poison", s.Poison, "word that makes the process exit when it runs a prompt with it")
	f.DurationVar(&s.ResumeTimeout, "resume-for", s.ResumeTimeout, "how long a request continues after its connection is lost")
	notice := f.Duration("leave-notice", defaultLeaveNotice, "how long it accepts requests after SIGTERM")
	if err := f.Parse(args); err != nil {
		return err
	}
	s.Memory = galenastair.Bytes(*memory)
	s.CacheMemory = galenastair.Bytes(*cacheMemory)
	if *platformAddress != "" {
		s.Load = client.New(*platformAddress).Load
	}
	var err error
	if s.Journal, err = journal.Open(*journalPath, *id); err != nil {
		return err
	}
	e := engine.New(galenastair.BackendServerID(*id), s)
	weights, err := lookUpWeights(ctx, *platformAddress, *preload)
	if err != nil {
		return err
	}
	e.Preload(weights...)
	l, err := listen(*address)
	if err != nil {
		return err
	}
	runCtx, stop := context.WithCancel(context.Background())
	stopped := make(chan error, 1)
	go func() { stopped <- e.Run(runCtx) }()
	r := register(*platformAddress, galenastair.ListedInstance{
		ID:               *id,
		Role:             galenastair.RoleEngine,
		Address:          advertisedAddress(*advertise, l),
		AvailabilityZone: galenastair.AvailabilityZone(*zone),
	})
	err = serve(ctx, l, e.Handler(), func() {
		r.leave(*notice)
		e.Drain()
	})
	r.withdraw()
	stop()
	return errors.Join(err, ignoreShutdownError(<-stopped))
}

// lookUpWeights returns the weights of a comma-separated list of names from the
// platform's catalogue. Without a platform, they have no size.
func lookUpWeights(ctx context.Context, platformAddress, names string) ([]galenastair.ModelWeights, error) {
	if names == "" {
		return nil, nil
	}
	list := strings.Split(names, ",")
	var weights []galenastair.ModelWeights
	if platformAddress == "" {
		for _, name := range list {
			weights = append(weights, galenastair.ModelWeights{Name: galenastair.ModelName(name), Version: "v1"})
		}
		return weights, nil
	}
	lookupCtx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	catalogue, err := client.New(platformAddress).Catalogue(lookupCtx)
	if err != nil {
		return nil, err
	}
	for _, name := range list {
		w, ok := findWeight(catalogue, galenastair.ModelName(name))
		if !ok {
			return nil, eris.Wrap(errWeightNotFound, name)
		}
		weights = append(weights, w)
	}
	return weights, nil
}

func findWeight(weights []galenastair.ModelWeights, name galenastair.ModelName) (galenastair.ModelWeights, bool) {
	for _, w := range weights {
		if w.Name == name {
			return w, true
		}
	}
	return galenastair.ModelWeights{}, false
}
