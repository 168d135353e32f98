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

// region runs the cores of all instances of a region by a hand-driven clock.
type region struct {
	now     time.Time
	rand    *rand.Rand
	peers   []galenastair.Peer
	cores   []*Core
	engines []galenastair.EngineReport
	servers []Server
	// mute instances neither read nor tell, as if dead but still members; none
	// reaches a deaf one.
	mute      map[int]bool
	deaf      int
	bytes     int
	reads     int
	deafReads int
}

type testDuties struct {
	r    *region
	self int
}

func (d testDuties) Self() galenastair.Peer      { return d.r.peers[d.self] }
func (d testDuties) Members() []galenastair.Peer { return d.r.peers }
func (d testDuties) Epoch() galenastair.Epoch    { return 1 }
func (d testDuties) Reader(id galenastair.BackendServerID) (galenastair.Peer, bool) {
	return d.r.peers[int(hashEngine(id))%len(d.r.peers)], true
}

func newRegion(instances, engines, models int) *region {
	r := &region{now: time.Now(), rand: rand.New(rand.NewPCG(1, 1)), mute: map[int]bool{}, deaf: -1}
	for i := range instances {
		r.peers = append(r.peers, galenastair.Peer{ID: galenastair.InstanceID(fmt.Sprintf("i%03d", i))})
		r.cores = append(r.cores, NewCore(defaultShortest))
	}
	for i := range engines {
		id := galenastair.BackendServerID(fmt.Sprintf("engine-%08d", i))
		rep := galenastair.EngineReport{BackendServer: id, MemoryTotal: 64 << 30}
		for m := range models {
			rep.Loaded = append(rep.Loaded, loaded(m))
		}
		r.engines = append(r.engines, rep)
		r.servers = append(r.servers, Server{ID: id})
	}
	for _, c := range r.cores {
		c.SetServers(r.servers)
	}
	return r
}

func loaded(m int) galenastair.LoadedWeight {
	return galenastair.LoadedWeight{
		Weight: galenastair.Weight{Name: galenastair.ModelName(fmt.Sprintf("model-%d", m)), Version: "v1", Memory: 8 << 30},
		State:  galenastair.Ready,
		Order:  "order-0123456789",
	}
}

// step lets half a second pass; loads move as a random walk.
func (r *region) step() {
	r.now = r.now.Add(tick)
	for i := range r.engines {
		e := &r.engines[i]
		e.Running = max(0, e.Running+r.rand.IntN(3)-1)
	}
	for i, c := range r.cores {
		if r.mute[i] {
			continue
		}
		p := c.Plan(r.now, testDuties{r, i})
		for _, s := range p.Reads {
			at := slices.IndexFunc(r.servers, func(o Server) bool { return o == s })
			c.Read(r.now, s.ID, r.engines[at])
			r.reads++
			if i == r.deaf {
				r.deafReads++
			}
		}
		r.send(p.Row)
		r.send(p.Column)
	}
}

func (r *region) send(p Push) {
	if p.empty() {
		return
	}
	req := encode(p.Told)
	told := decode(req)
	for _, to := range p.To {
		r.bytes += messageBytes + proto.Size(req)
		at := slices.IndexFunc(r.peers, func(o galenastair.Peer) bool { return o.ID == to.ID })
		if at != r.deaf {
			r.cores[at].Heard(r.now, told)
		}
	}
}

// ages returns the ages of all that the instances know, sorted; what is not known counts as an hour.
func (r *region) ages() []time.Duration {
	var ages []time.Duration
	for i, c := range r.cores {
		for _, k := range c.engines {
			if r.mute[i] || i == r.deaf {
				continue
			}
			age := time.Hour
			if !k.at.IsZero() {
				age = r.now.Sub(k.at)
			}
			ages = append(ages, age)
		}
	}
	slices.Sort(ages)
	return ages
}

func (r *region) run(d time.Duration) {
	for range d / tick {
		r.step()
	}
}

// rates returns, for one instance, the control bytes a second told and heard, and
// read, and the ages of what was known every few seconds.
func (r *region) rates(d time.Duration) (tell, read float64, ages []time.Duration) {
	r.bytes, r.reads = 0, 0
	for range d / (3 * time.Second) {
		r.run(3 * time.Second)
		ages = append(ages, r.ages()...)
	}
	slices.Sort(ages)
	perInstance := d.Seconds() * float64(len(r.peers))
	return 2 * float64(r.bytes) / perInstance, float64(r.reads*reportBytes) / perInstance, ages
}

// Every node's control traffic grows with the region until it is over its 6 KB/s.
// Measured with the sizes of the wire. Seen failing with newGrid's square
// replaced by a single row (4.6 times the bytes), and with worth always true.
func TestRegionStaysWithinItsBudgetAndKnowsAll(t *testing.T) {
	for _, size := range []struct{ instances, engines int }{{3, 9}, {9, 9}, {20, 100}, {53, 270}} {
		t.Run(fmt.Sprintf("%d instances and %d engines", size.instances, size.engines), func(t *testing.T) {
			is := is.New(t)
			r := newRegion(size.instances, size.engines, 6)
			r.run(45 * time.Second)
			tell, read, ages := r.rates(45 * time.Second)
			median, worst := ages[len(ages)/2], ages[len(ages)-1]
			took := r.spread()
			t.Logf("told and heard %.0f B/s, read %.0f B/s, age %v median %v worst, a state is known by all after %v",
				tell, read, median, worst, took)
			is.True(tell+read < 3500)
			is.True(worst < 3*median+5*time.Second) // else a router takes good engines for silent
			is.True(took <= 20*time.Second)
		})
	}
}

// spread loads one more model at the first engine and returns after how long all know.
func (r *region) spread() time.Duration {
	r.engines[0].Loaded = append(slices.Clone(r.engines[0].Loaded), loaded(99))
	want := len(r.engines[0].Loaded)
	for begin := r.now; ; r.step() {
		behind := func(c *Core) bool { return len(c.engines[r.servers[0].ID].report.Loaded) != want }
		if !slices.ContainsFunc(r.cores, behind) || r.now.Sub(begin) > 5*time.Minute {
			return r.now.Sub(begin)
		}
	}
}

// Callers wait behind a busy engine while another is idle: an entry routes by an
// old report. The engine's reader hangs but is still a member, or a relay
// between it and the entry does. The entry then reads the engine itself, and
// not all entries all engines; one that nobody reaches reads all, at a bounded
// rate. Seen failing with missing always false, and with ownReads at 1,000.
func TestEnginesOfADeadReaderAreReadByOthers(t *testing.T) {
	is := is.New(t)
	r := newRegion(53, 270, 6)
	r.run(30 * time.Second)
	for _, i := range []int{7, 8, 30} {
		r.mute[i] = true
	}
	r.deaf = 40
	r.run(90 * time.Second)
	r.deafReads = 0
	_, read, ages := r.rates(30 * time.Second)
	deaf := float64(r.deafReads*reportBytes) / 30
	t.Logf("read %.0f B/s, the deaf one %.0f B/s, age %v worst", read, deaf, ages[len(ages)-1])
	// silentRounds of 7 s, and then the engines of some rows at 2 a second
	is.True(ages[len(ages)-1] < 135*time.Second)
	is.True(read < 2*readBudget)
	is.True(deaf <= 3*readBudget)
}

func TestEveryInstanceHearsOfEveryEngineInTwoHops(t *testing.T) {
	is := is.New(t)
	for n := 1; n <= 60; n++ {
		r := newRegion(n, 0, 0)
		heard := make([]map[galenastair.InstanceID]bool, n)
		for i := range heard {
			heard[i] = map[galenastair.InstanceID]bool{r.peers[i].ID: true}
		}
		at := func(p galenastair.Peer) int {
			return slices.IndexFunc(r.peers, func(o galenastair.Peer) bool { return o.ID == p.ID })
		}
		for _, p := range r.peers {
			for _, relay := range append(newGrid(r.peers, p.ID).row, p) {
				heard[at(relay)][p.ID] = true
				for _, to := range newGrid(r.peers, relay.ID).column {
					heard[at(to)][p.ID] = true
				}
			}
		}
		for _, h := range heard {
			is.Equal(len(h), n)
		}
	}
}

// An entry routes to a copy that was unloaded long ago, since an old message
// came after a younger one. Seen failing with younger always true.
func TestLateNewsSetsNothingBack(t *testing.T) {
	is := is.New(t)
	c := NewCore(defaultShortest)
	c.SetServers([]Server{{ID: "e1"}})
	now := time.Now()
	with := galenastair.EngineReport{Running: 1, Loaded: []galenastair.LoadedWeight{loaded(1)}}
	old := News{Engine: hashEngine("e1"), Age: 10 * time.Second, Digest: digest(with), State: &with, Running: 1}
	is.Equal(len(c.Heard(now, Told{News: []News{old}})), 1)
	is.True(c.Read(now, "e1", galenastair.EngineReport{}))
	is.Equal(len(c.Heard(now, Told{News: []News{old}})), 0)
	is.Equal(len(c.engines["e1"].report.Loaded), 0)
	young := News{Engine: hashEngine("e1"), Digest: 99, Running: 5}
	is.Equal(len(c.Heard(now.Add(time.Second), Told{News: []News{young}})), 0) // its state is not known
	reads := c.Plan(now.Add(time.Second), testDuties{&region{peers: []galenastair.Peer{{ID: "i1"}}}, 0}).Reads
	is.Equal(len(reads), 1)
}
