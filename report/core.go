package report

import (
	"slices"
	"time"

	"galenastair"
)

// Server is an engine as listed.
type Server struct {
	ID      galenastair.BackendServerID
	Address string
}

// Duties says who reads which engine; every member should see the same soon.
type Duties interface {
	Self() galenastair.Peer
	Members() []galenastair.Peer
	// Epoch changes whenever members or readers do.
	Epoch() galenastair.Epoch
	// Reader returns the member that reads an engine.
	Reader(id galenastair.BackendServerID) (galenastair.Peer, bool)
}

// known is what one instance knows of one engine.
type known struct {
	server Server
	report galenastair.EngineReport
	digest stateDigest
	// at is when the figures held, by this instance's clock; zero if never.
	at time.Time
	// asked is when this instance last began to read the engine.
	asked time.Time
	// lacksState says that news named a state that this instance has not got.
	lacksState bool
	// mine says that this instance is the engine's reader.
	mine   bool
	row    told
	column told
}

// Core decides what to read and what to tell; its caller serialises the calls.
type Core struct {
	servers []Server
	engines map[galenastair.BackendServerID]*known
	// byHash has nil for a hash that two engines share: they are read by all.
	byHash map[engineHash]*known
	share  share
	round  time.Time
	rounds int
	// shortest is the shortest period of reads and rounds.
	shortest time.Duration
}

// NewCore returns a core that knows no engine; shortest bounds its periods from below.
func NewCore(shortest time.Duration) *Core { return &Core{shortest: shortest} }

// SetServers replaces the engines that are listed.
func (c *Core) SetServers(servers []Server) {
	if slices.Equal(servers, c.servers) {
		return
	}
	c.servers = slices.Clone(servers)
	c.share.valid = false
	engines := make(map[galenastair.BackendServerID]*known, len(servers))
	byHash := make(map[engineHash]*known, len(servers))
	for _, s := range servers {
		k, ok := c.engines[s.ID]
		if !ok || k.server != s {
			k = &known{server: s}
		}
		engines[s.ID] = k
		h := hashEngine(s.ID)
		if _, shared := byHash[h]; shared {
			byHash[h] = nil
			continue
		}
		byHash[h] = k
	}
	c.engines = engines
	c.byHash = byHash
}

// Read takes in what an engine said; it returns whether that is the youngest known.
func (c *Core) Read(now time.Time, id galenastair.BackendServerID, r galenastair.EngineReport) bool {
	k, ok := c.engines[id]
	if !ok || !k.younger(now.Add(-r.Age)) {
		return false
	}
	r.BackendServer = id
	k.at = now.Add(-r.Age)
	k.report = r
	k.digest = digest(r)
	k.lacksState = false
	return true
}

// Heard takes in a message and returns the reports that it made younger. News can
// come late, twice and by two ways: what is older than what is known is dropped,
// by the reader's age of the figures, as clocks are not compared.
func (c *Core) Heard(now time.Time, t Told) []galenastair.EngineReport {
	var out []galenastair.EngineReport
	for _, h := range t.Unchanged {
		k := c.byHash[h]
		if k == nil || k.at.IsZero() || !k.younger(now.Add(-t.UnchangedAge)) {
			continue
		}
		k.at = now.Add(-t.UnchangedAge)
		out = append(out, k.reportAt(now))
	}
	for _, n := range t.News {
		k := c.byHash[n.Engine]
		if k == nil || !k.younger(now.Add(-n.Age)) {
			continue
		}
		if n.State == nil && (k.at.IsZero() || n.Digest != k.digest) {
			k.lacksState = true
			continue
		}
		k.hear(now, n)
		out = append(out, k.reportAt(now))
	}
	return out
}

// hear takes in news whose state is known.
func (k *known) hear(now time.Time, n News) {
	if n.State != nil {
		k.report = *n.State
		k.report.BackendServer = k.server.ID
		k.digest = n.Digest
		k.lacksState = false
	}
	k.at = now.Add(-n.Age)
	k.report.Running = n.Running
	k.report.Waiting = n.Waiting
}

func (k *known) younger(at time.Time) bool { return k.at.IsZero() || at.After(k.at) }

func (k *known) reportAt(now time.Time) galenastair.EngineReport {
	r := k.report
	r.Age = now.Sub(k.at)
	return r
}
