package load

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"galenastair"
)

// allOrganisations names the sum in a result.
const allOrganisations galenastair.Organisation = "ALL"

// runner sends what the schedules say.
type runner struct {
	config Config
	client *http.Client
	begin  time.Time
	open   chan struct{}
	sent   atomic.Int64
	group  sync.WaitGroup
}

// Run puts the load on and returns once every request has ended; an early end of
// the context ends the arrivals and the open requests.
func Run(ctx context.Context, c Config) (Result, error) {
	c, err := c.complete()
	if err != nil {
		return Result{}, err
	}
	transport := &http.Transport{
		MaxIdleConnsPerHost: c.MaxOpen,
		IdleConnTimeout:     10 * time.Second,
		DisableCompression:  true,
	}
	defer transport.CloseIdleConnections()
	r := &runner{
		config: c,
		client: &http.Client{Transport: transport},
		begin:  time.Now(),
		open:   make(chan struct{}, c.MaxOpen),
	}
	tallies := make([]*tally, len(c.Sources))
	for i := range c.Sources {
		tallies[i] = newTally(c.Sources[i].Organisation)
		r.group.Go(func() { r.follow(ctx, newSchedule(c, i), tallies[i]) })
	}
	r.group.Wait()
	return r.result(tallies), nil
}

// follow sends each arrival of one schedule when it is due.
func (r *runner) follow(ctx context.Context, s *schedule, t *tally) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		a := s.take()
		if a.at > r.config.Duration {
			return
		}
		due := r.begin.Add(a.at)
		timer.Reset(time.Until(due))
		select {
		case <-timer.C:
		case <-ctx.Done():
			return
		}
		n := r.sent.Add(1)
		if r.config.MaxRequests > 0 && n > int64(r.config.MaxRequests) {
			return
		}
		r.start(ctx, a, due, r.config.Targets[n%int64(len(r.config.Targets))], t)
	}
}

// start sends one request, unless too many are open: an open loop must not wait.
func (r *runner) start(ctx context.Context, a arrival, due time.Time, target string, t *tally) {
	select {
	case r.open <- struct{}{}:
	default:
		t.drop()
		return
	}
	r.group.Go(func() {
		defer func() { <-r.open }()
		ctx, cancel := context.WithTimeout(ctx, r.config.Timeout)
		defer cancel()
		t.add(send(ctx, r.client, target, a, due, r.config.Want))
	})
}

func (r *runner) result(tallies []*tally) Result {
	elapsed := time.Since(r.begin)
	all := newTally(allOrganisations)
	result := Result{Seed: r.config.Seed, Elapsed: elapsed}
	for _, t := range byOrganisation(tallies) {
		all.merge(t)
		result.Organisations = append(result.Organisations, t.result())
	}
	result.All = all.result()
	result.WholePerSecond = float64(result.All.Whole()) / elapsed.Seconds()
	return result
}

// byOrganisation merges the tallies of sources that share an organisation.
func byOrganisation(tallies []*tally) []*tally {
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
