package ledger

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"

	"galenastair"
)

// The simulation has engines with limited memory, a log, instances whose ledgers lag
// behind it, and orders that stay in flight for up to the order lifetime.
const (
	simOrderLifetime = 60 * time.Second
	simMemory        = galenastair.Bytes(10)
	// simSeeds is the default number of runs, about six seconds with the race detector;
	// the environment variable SEEDS overrides it.
	simSeeds = 400
)

type simulation struct {
	t          *testing.T
	seed       uint64
	rng        *rand.Rand
	delivered  int
	fullSteps  int
	now        time.Time
	log        []logEntry
	leader     Leader
	logDown    bool
	delayed    []galenastair.Record
	engines    []*simEngine
	instances  []*instance
	inFlight   []*simOrder
	orderCount int
}

type logEntry struct {
	rec    galenastair.Record
	leader Leader
}

type simEngine struct {
	id          galenastair.BackendServerID
	checksFence bool
	fence       galenastair.Fence
	loaded      map[galenastair.ModelName]galenastair.LoadedWeights
	// reports holds the past reports, oldest first, any of which a request may return.
	reports []timedReport
}

type timedReport struct {
	takenAt time.Time
	report  galenastair.EngineReport
}

// instance is one member with its ledger; it may be paused between creating and sending an order.
type instance struct {
	id      galenastair.InstanceID
	ledger  *Ledger
	applied int
	issued  []*simOrder
	// minFence is the lowest fence under which this process can lead: after a restart the
	// instance is a new member and does not inherit the leadership of its former process.
	minFence galenastair.Fence
}

// leads reports whether the instance has read in the log that it is the leader.
func (in *instance) leads() bool {
	return in.ledger.leader.ID == in.id && in.ledger.leader.Fence >= in.minFence
}

// simOrder is an order from its creation to its end.
type simOrder struct {
	order     galenastair.Order
	createdAt time.Time
	abandoned bool
	// pausedUntil is when the issuer resumes from a pause between its lease check and the send.
	pausedUntil time.Time
	readBack    bool
	sent        bool
	answered    bool
	// unrecorded is set for an order to an engine that checks fences.
	unrecorded bool
	// sendBefore bounds the pause of an issuer that no longer leads: the order is neither
	// sent nor delivered from then on.
	sendBefore time.Time
}

// An engine whose memory is overcommitted fails with every model on it. That can happen
// when a leader orders a load while a former leader's order is still in flight, when a
// report is older than the order whose effect it is assumed to show, or when a leader
// resumes from a pause and sends an old order.
//
// Each seed drives engines with and without fence checks and injects lagging and paused
// instances, lost and delayed records, orders and answers, leader changes, restarts from
// snapshots and log outages. The test fails if memoryByWeight ignores pending orders, if
// orders of former leaders are dropped when the leader changes, if a settled order is
// dropped at once or by a report from before its settlement, if an unrecorded order is
// sent before the fence is confirmed, if an answered one is dropped before a report shows
// it or an unanswered one is dropped, if records of former leaders are valid, if an order
// is sent before it is read back, or if Fits allows two units too many. ledger_test.go
// covers further cases.
func TestMemoryIsNeverOvercommitted(t *testing.T) {
	first, last := uint64(1), uint64(simSeeds)
	if s := os.Getenv("SEEDS"); s != "" {
		last, _ = strconv.ParseUint(s, 10, 64)
	}
	if s := os.Getenv("SEED"); s != "" {
		first, _ = strconv.ParseUint(s, 10, 64)
		last = first
	}
	delivered, fullSteps := 0, 0
	for seed := first; seed <= last; seed++ {
		sim := newSimulation(t, seed)
		for range 600 {
			sim.step()
			sim.checkMemory()
		}
		delivered += sim.delivered
		fullSteps += sim.fullSteps
	}
	t.Logf("%d simulations, %d orders delivered, %d engine steps with full memory", last-first+1, delivered, fullSteps)
}

func newSimulation(t *testing.T, seed uint64) *simulation {
	sim := &simulation{t: t, seed: seed, rng: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0)}
	for i := range 2 {
		e := &simEngine{
			id:          galenastair.BackendServerID(fmt.Sprint("e", i)),
			checksFence: i == 0,
			loaded:      map[galenastair.ModelName]galenastair.LoadedWeights{},
		}
		sim.engines = append(sim.engines, e)
		sim.saveReport(e)
	}
	for i := range 3 {
		in := &instance{id: galenastair.InstanceID(fmt.Sprint("i", i)), ledger: New(simOrderLifetime)}
		sim.instances = append(sim.instances, in)
	}
	sim.changeLeader(sim.instances[0])
	return sim
}

func (sim *simulation) randN(n int) int { return sim.rng.IntN(n) }

func (sim *simulation) step() {
	sim.now = sim.now.Add(time.Duration(sim.randN(4)) * 200 * time.Millisecond)
	in := sim.instances[sim.randN(len(sim.instances))]
	for _, other := range sim.instances {
		if other.id == sim.leader.ID && sim.randN(3) > 0 {
			in = other // weighted towards the leader, which issues and settles the orders
		}
	}
	switch sim.randN(25) {
	case 0, 1, 2, 3:
		sim.applyRecords(in)
	case 4, 5, 6, 7, 8:
		sim.fetchReport(in)
	case 9, 10, 11, 12, 13:
		sim.issue(in)
	case 14, 15, 16:
		sim.send()
	case 17, 18:
		sim.deliver()
	case 19, 20:
		sim.settle(in)
	case 21, 22:
		sim.finishUnloads()
	case 23, 24:
		sim.injectFault(in)
	}
	for _, e := range sim.engines {
		sim.saveReport(e)
	}
}
