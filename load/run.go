package load

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"galenastair"
)

// allOrganisations is the name under which Result.All is reported.
const allOrganisations galenastair.Organisation = "ALL"

// runner sends the requests of one run.
type runner struct {
	config    Config
	client    *http.Client
	startedAt time.Time
	inFlight  chan struct{}
	arrivals  atomic.Int64
	wg        sync.WaitGroup
}

// Run generates the load and returns once every request has finished. Cancelling the
// context stops the arrivals and cancels the requests in flight.
func Run(ctx context.Context, c Config) (Result, error) {
	c, err := c.withDefaults()
	if err != nil {
		return Result{}, err
	}
	transport := &http.Transport{
		MaxIdleConnsPerHost: c.MaxInFlight,
		IdleConnTimeout:     10 * time.Second,
		DisableCompression:  true,
	}
	defer transport.CloseIdleConnections()
	r := &runner{
		config:    c,
		client:    &http.Client{Transport: transport},
		startedAt: time.Now(),
		inFlight:  make(chan struct{}, c.MaxInFlight),
	}
	tallies := make([]*tally, len(c.Sources))
	for i := range c.Sources {
		tallies[i] = newTally(c.Sources[i].Organisation)
		r.wg.Go(func() { r.runSchedule(ctx, newSchedule(c, i), tallies[i]) })
	}
	r.wg.Wait()
	return r.result(tallies), nil
}

// runSchedule sends each request of one schedule when it is due.
func (r *runner) runSchedule(ctx context.Context, s *schedule, t *tally) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		a := s.next()
		if a.at > r.config.Duration {
			return
		}
		due := r.startedAt.Add(a.at)
		timer.Reset(time.Until(due))
		select {
		case <-timer.C:
		case <-ctx.Done():
			return
		}
		n := r.arrivals.Add(1)
		if r.config.MaxRequests > 0 && n > int64(r.config.MaxRequests) {
			return
		}
		r.startRequest(ctx, a, due, r.config.Targets[n%int64(len(r.config.Targets))], t)
	}
}

// startRequest sends one request in a goroutine of its own. It drops the request if
// MaxInFlight is reached: waiting for a free slot would delay later arrivals and make the
// load a closed loop.
func (r *runner) startRequest(ctx context.Context, a arrival, due time.Time, target string, t *tally) {
	select {
	case r.inFlight <- struct{}{}:
	default:
		t.addDropped()
		return
	}
	r.wg.Go(func() {
		defer func() { <-r.inFlight }()
		ctx, cancel := context.WithTimeout(ctx, r.config.Timeout)
		defer cancel()
		t.add(send(ctx, r.client, target, a, due, r.config.ExpectedText))
	})
}

func (r *runner) result(tallies []*tally) Result {
	elapsed := time.Since(r.startedAt)
	all := newTally(allOrganisations)
	result := Result{Seed: r.config.Seed, Elapsed: elapsed}
	for _, t := range mergeByOrganisation(tallies) {
		all.merge(t)
		result.Organisations = append(result.Organisations, t.result())
	}
	result.All = all.result()
	result.CompletedPerSecond = float64(result.All.Completed()) / elapsed.Seconds()
	return result
}

// mergeByOrganisation merges the tallies of sources with the same organisation.
func mergeByOrganisation(tallies []*tally) []*tally {
	var merged []*tally
	byName := map[galenastair.Organisation]*tally{}
	for _, t := range tallies {
		if first, ok := byName[t.organisation]; ok {
			first.merge(t)
			continue
		}
		byName[t.organisation] = t
		merged = append(merged, t)
	}
	return merged
}
