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

var errUnknownWeight = eris.New("the catalogue has no such weight")

func runEngine(ctx context.Context, args []string) error {
	s := engine.DefaultSettings()
	f := flag.NewFlagSet("engine", flag.ContinueOnError)
	address := f.String("listen", "127.0.0.1:0", "address to listen on")
	advertise := f.String("advertise", "", "address in the instance list; the listening one by default")
	journalPath := f.String("journal", "", "file to which each run is appended")
	platformAddress := f.String("platform", "", "address of the platform; empty to run alone")
	id := f.String("id", "engine-"+uuid.NewString()[:8], "id in the instance list")
	zone := f.String("zone", "zone-1", "availability zone")
	preload := f.String("preload", "", "weights that are ready at the start, by name, with commas between")
	memory := f.Int64("memory", int64(s.Memory), "bytes for weights")
	cacheMemory := f.Int64("cache-memory", int64(s.CacheMemory), "bytes for the KV cache")
	f.DurationVar(&s.BaseStep, "step", s.BaseStep, "time of a step")
	f.DurationVar(&s.StepPerRequest, "step-request", s.StepPerRequest, "more time of a step for each request in the batch")
	f.DurationVar(&s.PrefillPerToken, "prefill-token", s.PrefillPerToken, "more time of a step for each new prompt token")
	f.IntVar(&s.MaxBatch, "batch", s.MaxBatch, "most requests in a batch")
	f.IntVar(&s.MaxWaiting, "waiting", s.MaxWaiting, "most requests that wait")
	f.DurationVar(&s.ReportLag, "report-lag", s.ReportLag, "how old reports are")
	f.DurationVar(&s.EventLag, "event-lag", s.EventLag, "how late cache events come")
	f.Float64Var(&s.EventGaps, "event-gaps", s.EventGaps, "share of cache events that never come")
	f.BoolVar(&s.ChecksFence, "checks-fence", s.ChecksFence, "refuse orders with an old fencing number")
	f.StringVar(&s.Poison, "poison", s.Poison, "word in a prompt that ends the process when it runs")
	f.DurationVar(&s.ResumeFor, "resume-for", s.ResumeFor, "how long a request without a connection goes on")
	notice := f.Duration("leave-notice", defaultNotice, "how long it takes requests after SIGTERM")
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
	weights, err := findWeights(ctx, *platformAddress, *preload)
	if err != nil {
		return err
	}
	e.Preload(weights...)
	l, err := listen(*address)
	if err != nil {
		return err
	}
	working, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- e.Run(working) }()
	r := register(*platformAddress, galenastair.ListedInstance{
		ID:               *id,
		Role:             galenastair.RoleEngine,
		Address:          advertised(*advertise, l),
		AvailabilityZone: galenastair.AvailabilityZone(*zone),
	})
	err = serve(ctx, l, e.Handler(), func() {
		r.leave(*notice)
		e.Drain()
	})
	r.withdraw()
	stop()
	return errors.Join(err, stopped(<-ended))
}

// findWeights looks names up in the catalogue; without a platform they have no size.
func findWeights(ctx context.Context, platformAddress, names string) ([]galenastair.Weight, error) {
	if names == "" {
		return nil, nil
	}
	wanted := strings.Split(names, ",")
	var weights []galenastair.Weight
	if platformAddress == "" {
		for _, name := range wanted {
			weights = append(weights, galenastair.Weight{Name: galenastair.ModelName(name), Version: "v1"})
		}
		return weights, nil
	}
	limited, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	catalogue, err := client.New(platformAddress).Catalogue(limited)
	if err != nil {
		return nil, err
	}
	for _, name := range wanted {
		w, ok := find(catalogue, galenastair.ModelName(name))
		if !ok {
			return nil, eris.Wrap(errUnknownWeight, name)
		}
		weights = append(weights, w)
	}
	return weights, nil
}

func find(weights []galenastair.Weight, name galenastair.ModelName) (galenastair.Weight, bool) {
	for _, w := range weights {
		if w.Name == name {
			return w, true
		}
	}
	return galenastair.Weight{}, false
}
