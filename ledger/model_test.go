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

// The model's world: engines with memory, a log, instances with ledgers of their
// own that lag, and orders on their way for as long as Life allows.
const (
	modelLife  = 60 * time.Second
	modelTotal = galenastair.Bytes(10)
	// modelSeeds takes some six seconds with the race detector; make proof asks for
	// more by SEEDS.
	modelSeeds = 400
)

type world struct {
	t         *testing.T
	seed      uint64
	rng       *rand.Rand
	arrived   int
	full      int
	now       time.Time
	log       []logged
	leader    Leader
	logDown   bool
	late      []galenastair.Record
	engines   []*modelEngine
	instances []*instance
	flights   []*flight
	orders    int
}

type logged struct {
	rec    galenastair.Record
	leader Leader
}

type modelEngine struct {
	id     galenastair.BackendServerID
	checks bool
	fence  galenastair.Fence
	loaded map[galenastair.ModelName]galenastair.LoadedWeight
	// past holds the reports that a reader may be given, oldest first.
	past []pastReport
}

type pastReport struct {
	at     time.Time
	report galenastair.EngineReport
}

// instance is one member with its ledger; it may be paused with an order in hand.
type instance struct {
	id     galenastair.InstanceID
	ledger *Ledger
	folded int
	held   []*flight
	// first is the first fence that this process can lead under: a new process of the
	// same instance is another member, and no leader by what the one before it was.
	first galenastair.Fence
}

// leads says that the instance has folded its own leadership.
func (in *instance) leads() bool {
	return in.ledger.leader.ID == in.id && in.ledger.leader.Fence >= in.first
}

// flight is an order between its record and its end.
type flight struct {
	order   galenastair.Order
	begun   time.Time
	givenUp bool
	// paused is until when its issuer is stopped between its check and the send.
	paused   time.Time
	read     bool
	sent     bool
	answered bool
	// unrecorded is an order to an engine that checks fences.
	unrecorded bool
	// last is when a paused issuer could still send it; after that nothing does.
	last time.Time
}

// An accelerator runs out of memory, and every model on it dies with it. It happens
// when a leader orders a load while a former leader's order is still on its way,
// when a report is older than an order it is thought to show, or when a leader that
// was paused sends what it had in hand.
//
// The test lets instances lag, pause with orders in hand, lose and delay appends,
// orders and answers, change the leader at any moment, restart from snapshots, take
// the log away in mid-move, and uses engines that check fencing numbers and engines
// that don't. Seen failing with each of these changed: pending orders not counted
// (needs); orders of former leaders dropped at the change (Life zero); a settled order
// dropped at once, or at a report from before its settlement; an order without a record
// given before the fence is raised; one that was answered not counted until a report
// shows it; one without an answer forgotten; records of former
// leaders valid (byLeader); an order sent before it was read back; Fits two too wide.
// Changes that it misses are in the tests of ledger_test.go.
func TestMemoryIsNeverOvercommitted(t *testing.T) {
	first, last := uint64(1), uint64(modelSeeds)
	if s := os.Getenv("SEEDS"); s != "" {
		last, _ = strconv.ParseUint(s, 10, 64)
	}
	if s := os.Getenv("SEED"); s != "" {
		first, _ = strconv.ParseUint(s, 10, 64)
		last = first
	}
	arrived, full := 0, 0
	for seed := first; seed <= last; seed++ {
		w := newWorld(t, seed)
		for range 600 {
			w.step()
			w.check()
		}
		arrived += w.arrived
		full += w.full
	}
	t.Logf("%d worlds, %d orders carried out, %d moments with memory full", last-first+1, arrived, full)
}

func newWorld(t *testing.T, seed uint64) *world {
	w := &world{t: t, seed: seed, rng: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0)}
	for i := range 2 {
		e := &modelEngine{
			id:     galenastair.BackendServerID(fmt.Sprint("e", i)),
			checks: i == 0,
			loaded: map[galenastair.ModelName]galenastair.LoadedWeight{},
		}
		w.engines = append(w.engines, e)
		w.keep(e)
	}
	for i := range 3 {
		in := &instance{id: galenastair.InstanceID(fmt.Sprint("i", i)), ledger: New(modelLife)}
		w.instances = append(w.instances, in)
	}
	w.changeLeader(w.instances[0])
	return w
}

func (w *world) draw(n int) int { return w.rng.IntN(n) }

func (w *world) step() {
	w.now = w.now.Add(time.Duration(w.draw(4)) * 200 * time.Millisecond)
	in := w.instances[w.draw(len(w.instances))]
	for _, other := range w.instances {
		if other.id == w.leader.ID && w.draw(3) > 0 {
			in = other // most of what matters is done by the leader
		}
	}
	switch w.draw(25) {
	case 0, 1, 2, 3:
		w.fold(in)
	case 4, 5, 6, 7, 8:
		w.look(in)
	case 9, 10, 11, 12, 13:
		w.issue(in)
	case 14, 15, 16:
		w.send()
	case 17, 18:
		w.arrive()
	case 19, 20:
		w.settle(in)
	case 21, 22:
		w.unloaded()
	case 23, 24:
		w.disturb(in)
	}
	for _, e := range w.engines {
		w.keep(e)
	}
}
