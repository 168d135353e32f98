package speed

import (
	"cmp"
	"math"
	"slices"
	"time"

	"galenastair"
)

const (
	// window is the number of observations that an estimate covers. A busy server gets about two per
	// second, so it follows a lasting change within some 20 s.
	window = 48
	// minObservations is the number from which an estimate is used: some seconds after a server's
	// start.
	minObservations = 8
	// The fastest tenth of the observations and the slowest six tenths do not count. Prompts that the
	// instance did not know of delay a request, and servers are slow for moments; prefixes that the
	// instance did not know to be cached make one fast.
	fastest = 0.1
	slowest = 0.6
	// clip bounds the effect of an observation on the measured scatter, by which equal servers with
	// unequal queues are not taken for uneven ones.
	clip = 1
	// minDifference is the logarithm of the smallest factor that counts: smaller differences do not
	// affect callers, and a fleet of equal servers should not be treated as uneven.
	minDifference = 0.0953
	// doubt is the number of standard deviations that a factor must differ from 1. Hundreds of
	// estimates are compared every fraction of a second, and slow moments make them scatter more than
	// normally distributed ones.
	doubt = 4
	// changeDoubt is the same for a difference from the announced factor.
	changeDoubt = 2
	// offsetWindowPerServer is the number of observations per server that the offset of a service
	// covers. It is short against window, so that a change that affects all servers alike, as of the
	// load, does not move factors.
	offsetWindowPerServer = 3
	// minOffsetWindow and maxOffsetWindow bound it.
	minOffsetWindow = 20
	maxOffsetWindow = 512
	// observationTTL is how long an estimate counts without an observation. A server that is avoided
	// as slow gets tried again then.
	observationTTL = 2 * time.Minute
	// removedTTL is how long an estimate is kept after a server's registration has ended. All end
	// in an outage of the store, while the processes continue.
	removedTTL = time.Minute
)

// Aggregator estimates the speed factors at the leader.
type Aggregator struct {
	servers  map[Key]*server
	services map[galenastair.ServiceName]*service
	// published are the announced factors, in the order of their sequence numbers.
	published []publication
	last      Sequence
}

type server struct {
	key     Key
	service *service
	// logs are the logarithms of the latest observations without the service's offset, and log is
	// their level.
	logs       ring
	log        float64
	observedAt time.Time
	// removedAt is when the registration ended; zero while there is one.
	removedAt time.Time
	// published reports that the factor has been announced, and factor is its announced value.
	published bool
	factor    Ratio
}

// service holds what the observations of all servers of a service have in common.
type service struct {
	// residuals are the logarithms of the latest observed ratios without the server's factors, and
	// offset is their level. The expected times are assumptions, and the load affects all servers.
	residuals ring
	offset    float64
	// deviation is the standard deviation of the residuals, after clipping.
	deviation float64
	servers   []*server
}

type publication struct {
	Factor
	sequence Sequence
}

// Change is a factor that an Aggregator announces.
type Change struct {
	Server       Key
	Factor       Ratio
	Before       Ratio
	Observations int
}

// NewAggregator returns an Aggregator without servers. Its sequence numbers begin at the time, so
// that a number from a previous process is not taken for one of its own.
func NewAggregator(now time.Time) *Aggregator {
	return &Aggregator{
		servers:  map[Key]*server{},
		services: map[galenastair.ServiceName]*service{},
		last:     Sequence(now.UnixMicro()),
	}
}

// SetServer records that a process is registered. Observations of other processes are ignored.
func (a *Aggregator) SetServer(k Key, name galenastair.ServiceName) {
	if s := a.servers[k]; s != nil {
		s.removedAt = time.Time{}
		return
	}
	svc := a.services[name]
	if svc == nil {
		svc = &service{}
		a.services[name] = svc
	}
	s := &server{key: k, service: svc, factor: 1}
	a.servers[k] = s
	svc.servers = append(svc.servers, s)
}

// RemoveServer records that the registration of a process has ended.
func (a *Aggregator) RemoveServer(now time.Time, k Key) {
	if s := a.servers[k]; s != nil {
		s.removedAt = now
	}
	// an instance that does not lead calls no Step
	a.expireRemoved(now)
}

// expireRemoved forgets the processes whose registrations ended more than removedTTL ago.
func (a *Aggregator) expireRemoved(now time.Time) {
	for k, s := range a.servers {
		if !s.removedAt.IsZero() && now.Sub(s.removedAt) > removedTTL {
			a.DropServer(k)
		}
	}
}

// DropServer forgets a process that has ended.
func (a *Aggregator) DropServer(k Key) {
	s := a.servers[k]
	if s == nil {
		return
	}
	delete(a.servers, k)
	s.service.servers = slices.DeleteFunc(s.service.servers, func(o *server) bool { return o == s })
	a.unpublish(k)
}

// Restart begins a term as the leader: estimates made in an earlier term are replaced by the factors
// that this instance has received since. Without any, the estimates begin anew.
func (a *Aggregator) Restart(now time.Time, factors []Factor) {
	a.published = nil
	a.last = max(a.last+1, Sequence(now.UnixMicro()))
	for _, svc := range a.services {
		svc.offset, svc.residuals = 0, ring{}
	}
	received := map[Key]Ratio{}
	for _, f := range factors {
		received[f.Server] = f.Ratio
	}
	for k, s := range a.servers {
		s.forget()
		s.published, s.factor = false, 1
		if len(received) == 0 {
			continue
		}
		r := cmp.Or(received[k], 1)
		s.log = r.log()
		for range minObservations {
			s.logs.add(s.log, window)
		}
		s.observedAt = now
		a.publish(s, r)
	}
}

// Observe adds the observations of one report.
func (a *Aggregator) Observe(now time.Time, observations []Observation) {
	for _, o := range observations[:min(len(observations), MaxObservations)] {
		s := a.servers[o.Server]
		if s == nil || !(o.Ratio > 0) {
			continue
		}
		svc, v := s.service, o.Ratio.log()
		svc.residuals.add(v-s.log, min(maxOffsetWindow, max(minOffsetWindow, offsetWindowPerServer*len(svc.servers))))
		if len(svc.residuals.values) == minOffsetWindow {
			svc.update()
		}
		if len(svc.residuals.values) < minOffsetWindow {
			continue
		}
		s.logs.add(v-svc.offset, window)
		s.log = s.logs.level()
		s.observedAt = now
	}
}

// update computes what all observations have in common.
func (s *service) update() {
	if len(s.residuals.values) < minOffsetWindow {
		return
	}
	s.offset = s.residuals.level()
	sum := 0.0
	for _, v := range s.residuals.values {
		d := clipped(float64(v) - s.offset)
		sum += d * d
	}
	s.deviation = math.Sqrt(sum / float64(len(s.residuals.values)))
}

// known reports whether there are enough observations for an estimate.
func (s *server) known() bool { return len(s.logs.values) >= minObservations }

func (s *server) forget() { s.logs, s.log = ring{}, 0 }

func clipped(d float64) float64 { return min(clip, max(-clip, d)) }

// Step expires estimates, and announces and returns the factors that have changed.
func (a *Aggregator) Step(now time.Time) []Change {
	var changes []Change
	a.expireRemoved(now)
	for _, s := range a.servers {
		if len(s.logs.values) > 0 && now.Sub(s.observedAt) > observationTTL {
			s.forget()
			changes = a.announce(changes, s, 1)
		}
	}
	for _, svc := range a.services {
		svc.update()
		svc.centre()
		for _, s := range svc.servers {
			if r, ok := s.change(); ok {
				changes = a.announce(changes, s, r)
			}
		}
	}
	return changes
}

// centre makes 1 the mean factor of the middle half of the servers, so that some servers that are
// much slower do not make all others count as fast.
func (s *service) centre() {
	var logs []float64
	for _, srv := range s.servers {
		if srv.known() {
			logs = append(logs, srv.log)
		}
	}
	if len(logs) == 0 {
		return
	}
	slices.Sort(logs)
	quarter := len(logs) / 4
	logs = logs[quarter : len(logs)-quarter]
	mean := 0.0
	for _, v := range logs {
		mean += v / float64(len(logs))
	}
	for _, srv := range s.servers {
		if len(srv.logs.values) > 0 {
			srv.log -= mean
		}
		srv.logs.shift(-mean)
	}
	s.offset += mean
	s.residuals.shift(mean)
}

// change returns a factor to announce, if it differs enough from the announced one. The first is
// announced also if it is 1, as instances may have another from a previous leader.
func (s *server) change() (Ratio, bool) {
	if !s.known() {
		return 0, false
	}
	deviation := s.service.deviation / math.Sqrt(float64(len(s.logs.values)))
	switch {
	case s.published && s.factor != 1 && math.Abs(s.log) < minDifference/2:
		return 1, true
	case s.published && math.Abs(s.log-s.factor.log()) < max(minDifference, changeDoubt*deviation):
		return 0, false
	}
	r := Ratio(1)
	if math.Abs(s.log) >= max(minDifference, doubt*deviation) {
		r = FromSteps(Ratio(math.Exp(s.log)).Steps())
	}
	return r, !s.published || r != s.factor
}

func (a *Aggregator) announce(changes []Change, s *server, r Ratio) []Change {
	before := s.factor
	a.publish(s, r)
	if r == before {
		return changes
	}
	return append(changes, Change{s.key, r, before, len(s.logs.values)})
}

func (a *Aggregator) publish(s *server, r Ratio) {
	if s.published {
		a.unpublish(s.key)
	}
	a.last++
	s.published, s.factor = true, r
	a.published = append(a.published, publication{Factor{s.key, r}, a.last})
}

func (a *Aggregator) unpublish(k Key) {
	a.published = slices.DeleteFunc(a.published, func(p publication) bool { return p.Server == k })
}

// Since returns the factors that have been announced after a number, all for a number that this
// Aggregator has not given.
func (a *Aggregator) Since(seen Sequence) Update {
	u := Update{Newest: a.last}
	if seen > a.last {
		seen = 0
	}
	first, _ := slices.BinarySearchFunc(a.published, seen+1, func(p publication, n Sequence) int { return cmp.Compare(p.sequence, n) })
	for _, p := range a.published[first:] {
		u.Factors = append(u.Factors, p.Factor)
	}
	return u
}

// Factor returns the announced factor of a process, 1 if there is none.
func (a *Aggregator) Factor(k Key) Ratio {
	if s := a.servers[k]; s != nil {
		return s.factor
	}
	return 1
}
