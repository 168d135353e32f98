package report

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"galenastair"
)

// simulatedRegion runs the trackers of all instances of a region with a simulated clock.
type simulatedRegion struct {
	now      time.Time
	rand     *rand.Rand
	peers    []galenastair.Peer
	trackers []*Tracker
	engines  []galenastair.EngineReport
	servers  []Server
	// hung has the instances that neither poll nor send, but are still members; the one
	// with the index unreachable receives no messages.
	hung             map[int]bool
	unreachable      int
	bytes            int
	polls            int
	unreachablePolls int
}

type testAssignment struct {
	r    *simulatedRegion
	self int
}

func (a testAssignment) Self() galenastair.Peer      { return a.r.peers[a.self] }
func (a testAssignment) Members() []galenastair.Peer { return a.r.peers }
func (a testAssignment) Epoch() galenastair.Epoch    { return 1 }
func (a testAssignment) Poller(id galenastair.BackendServerID) (galenastair.Peer, bool) {
	return a.r.peers[int(hashEngine(id))%len(a.r.peers)], true
}

func newSimulatedRegion(instances, engines, models int) *simulatedRegion {
	r := &simulatedRegion{now: time.Now(), rand: rand.New(rand.NewPCG(1, 1)), hung: map[int]bool{}, unreachable: -1}
	for i := range instances {
		r.peers = append(r.peers, galenastair.Peer{ID: galenastair.InstanceID(fmt.Sprintf("i%03d", i))})
		r.trackers = append(r.trackers, NewTracker(defaultMinInterval))
	}
	for i := range engines {
		id := galenastair.BackendServerID(fmt.Sprintf("engine-%08d", i))
		rep := galenastair.EngineReport{BackendServer: id, MemoryTotal: 64 << 30}
		for m := range models {
			rep.Loaded = append(rep.Loaded, loadedModel(m))
		}
		r.engines = append(r.engines, rep)
		r.servers = append(r.servers, Server{ID: id})
	}
	for _, tracker := range r.trackers {
		tracker.SetServers(r.servers)
	}
	return r
}

func loadedModel(m int) galenastair.LoadedWeights {
	return galenastair.LoadedWeights{
		Weight: galenastair.ModelWeights{Name: galenastair.ModelName(fmt.Sprintf("model-%d", m)), Version: "v1", Memory: 8 << 30},
		State:  galenastair.LoadStateReady,
		Order:  "order-0123456789",
	}
}

// step advances the clock by tickInterval; the loads follow a random walk.
func (r *simulatedRegion) step() {
	r.now = r.now.Add(tickInterval)
	for i := range r.engines {
		e := &r.engines[i]
		e.Running = max(0, e.Running+r.rand.IntN(3)-1)
	}
	for i, tracker := range r.trackers {
		if r.hung[i] {
			continue
		}
		p := tracker.Plan(r.now, testAssignment{r, i})
		for _, s := range p.Polls {
			at := slices.IndexFunc(r.servers, func(o Server) bool { return o == s })
			tracker.ApplyReport(r.now, s.ID, r.engines[at])
			r.polls++
			if i == r.unreachable {
				r.unreachablePolls++
			}
		}
		r.send(p.Row)
		r.send(p.Column)
	}
}

func (r *simulatedRegion) send(p Push) {
	if p.empty() {
		return
	}
	req := encodeMessage(p.Message)
	msg := decodeMessage(req)
	for _, to := range p.To {
		r.bytes += messageOverheadBytes + proto.Size(req)
		at := slices.IndexFunc(r.peers, func(o galenastair.Peer) bool { return o.ID == to.ID })
		if at != r.unreachable {
			r.trackers[at].ApplyMessage(r.now, msg)
		}
	}
}

// ages returns the sorted ages of the reports in all instances; a missing one counts as an hour.
func (r *simulatedRegion) ages() []time.Duration {
	var ages []time.Duration
	for i, tracker := range r.trackers {
		for _, e := range tracker.engines {
			if r.hung[i] || i == r.unreachable {
				continue
			}
			age := time.Hour
			if !e.measuredAt.IsZero() {
				age = r.now.Sub(e.measuredAt)
			}
			ages = append(ages, age)
		}
	}
	slices.Sort(ages)
	return ages
}

func (r *simulatedRegion) run(d time.Duration) {
	for range d / tickInterval {
		r.step()
	}
}

// measureTraffic runs the region for d and returns the bytes per second and instance that
// were sent and received, those that were polled, and the ages of the reports every 3 s.
func (r *simulatedRegion) measureTraffic(d time.Duration) (sent, polled float64, ages []time.Duration) {
	r.bytes, r.polls = 0, 0
	for range d / (3 * time.Second) {
		r.run(3 * time.Second)
		ages = append(ages, r.ages()...)
	}
	slices.Sort(ages)
	perInstance := d.Seconds() * float64(len(r.peers))
	return 2 * float64(r.bytes) / perInstance, float64(r.polls*reportBytes) / perInstance, ages
}

// Guards the budget of control traffic, 6 KB/s per instance, against growth with the size
// of the region. Sizes are those of the encoded messages. Fails if newGrid returns a single
// row (4.6 times the bytes) or if needsUpdate is always true.
func TestTrafficBudgetAndPropagation(t *testing.T) {
	for _, size := range []struct{ instances, engines int }{{3, 9}, {9, 9}, {20, 100}, {53, 270}} {
		t.Run(fmt.Sprintf("%d instances and %d engines", size.instances, size.engines), func(t *testing.T) {
			is := is.New(t)
			r := newSimulatedRegion(size.instances, size.engines, 6)
			r.run(45 * time.Second)
			sent, polled, ages := r.measureTraffic(45 * time.Second)
			median, worst := ages[len(ages)/2], ages[len(ages)-1]
			took := r.timeToPropagate()
			t.Logf("sent and received %.0f B/s, polled %.0f B/s, age %v median %v maximum, state known to all after %v",
				sent, polled, median, worst, took)
			is.True(sent+polled < 3500)
			is.True(worst < 3*median+5*time.Second) // otherwise routing treats responsive engines as unresponsive
			is.True(took <= 20*time.Second)
		})
	}
}

// timeToPropagate loads a model in the first engine and returns the time until all
// instances know of it, at most 5 minutes.
func (r *simulatedRegion) timeToPropagate() time.Duration {
	r.engines[0].Loaded = append(slices.Clone(r.engines[0].Loaded), loadedModel(99))
	want := len(r.engines[0].Loaded)
	for begin := r.now; ; r.step() {
		behind := func(tracker *Tracker) bool { return len(tracker.engines[r.servers[0].ID].report.Loaded) != want }
		if !slices.ContainsFunc(r.trackers, behind) || r.now.Sub(begin) > 5*time.Minute {
			return r.now.Sub(begin)
		}
	}
}

// Guards against routing by outdated reports, which queues requests at a busy engine while
// another is idle, when the engine's poller or a relay hangs but is still a member. The
// other instances must poll the engine themselves, without all of them polling all engines;
// an instance that receives no messages polls all engines, at a bounded rate. Fails if
// isStale is always false or if maxFallbackPolls is 1,000.
func TestFallbackPollsWhilePollersHang(t *testing.T) {
	is := is.New(t)
	r := newSimulatedRegion(53, 270, 6)
	r.run(30 * time.Second)
	for _, i := range []int{7, 8, 30} {
		r.hung[i] = true
	}
	r.unreachable = 40
	r.run(90 * time.Second)
	r.unreachablePolls = 0
	_, polled, ages := r.measureTraffic(30 * time.Second)
	unreachable := float64(r.unreachablePolls*reportBytes) / 30
	t.Logf("polled %.0f B/s, unreachable instance %.0f B/s, maximum age %v", polled, unreachable, ages[len(ages)-1])
	// staleRounds of 7 s, and then the engines of some rows at 2 per second
	is.True(ages[len(ages)-1] < 135*time.Second)
	is.True(polled < 2*pollBudgetBytesPerSecond)
	is.True(unreachable <= 3*pollBudgetBytesPerSecond)
}

func TestGridReachesEveryInstanceInTwoHops(t *testing.T) {
	is := is.New(t)
	for n := 1; n <= 60; n++ {
		r := newSimulatedRegion(n, 0, 0)
		reached := make([]map[galenastair.InstanceID]bool, n)
		for i := range reached {
			reached[i] = map[galenastair.InstanceID]bool{r.peers[i].ID: true}
		}
		at := func(p galenastair.Peer) int {
			return slices.IndexFunc(r.peers, func(o galenastair.Peer) bool { return o.ID == p.ID })
		}
		for _, p := range r.peers {
			for _, relay := range append(newGrid(r.peers, p.ID).row, p) {
				reached[at(relay)][p.ID] = true
				for _, to := range newGrid(r.peers, relay.ID).column {
					reached[at(to)][p.ID] = true
				}
			}
		}
		for _, h := range reached {
			is.Equal(len(h), n)
		}
	}
}

// Guards against routing to an unloaded copy of a model after an older message arrives
// later than a newer one. Fails if isNewer is always true.
func TestOlderUpdateIsDropped(t *testing.T) {
	is := is.New(t)
	tracker := NewTracker(defaultMinInterval)
	tracker.SetServers([]Server{{ID: "e1"}})
	now := time.Now()
	with := galenastair.EngineReport{Running: 1, Loaded: []galenastair.LoadedWeights{loadedModel(1)}}
	older := EngineUpdate{Engine: hashEngine("e1"), Age: 10 * time.Second, Digest: digestState(with), State: &with, Running: 1}
	is.Equal(len(tracker.ApplyMessage(now, Message{Updates: []EngineUpdate{older}})), 1)
	is.True(tracker.ApplyReport(now, "e1", galenastair.EngineReport{}))
	is.Equal(len(tracker.ApplyMessage(now, Message{Updates: []EngineUpdate{older}})), 0)
	is.Equal(len(tracker.engines["e1"].report.Loaded), 0)
	update := EngineUpdate{Engine: hashEngine("e1"), Digest: 99, Running: 5}
	is.Equal(len(tracker.ApplyMessage(now.Add(time.Second), Message{Updates: []EngineUpdate{update}})), 0) // its state is not known
	polls := tracker.Plan(now.Add(time.Second), testAssignment{&simulatedRegion{peers: []galenastair.Peer{{ID: "i1"}}}, 0}).Polls
	is.Equal(len(polls), 1)
}
