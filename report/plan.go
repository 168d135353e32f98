package report

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"galenastair"
)

const (
	// silentRounds is how many rounds may pass without news of an engine before
	// an instance reads it itself: every engine is told at least each fourth.
	silentRounds = 8
	// refreshRounds is after how many rounds an engine is told though it has not changed.
	refreshRounds = 4
	// stateRounds is in how many rounds a changed state is told, so that one lost
	// message costs no read of the engine.
	stateRounds = 2
	// ownReads bounds the engines that are read for want of news at one time: when
	// a reader dies, up to 52 others miss its news at once, and an instance that
	// nobody can reach misses all.
	ownReads = 1
	// firstReads bounds them for an instance that has just started and knows
	// nothing: it can route within seconds, and the 400 KB at the target size are
	// paid once by it alone.
	firstReads = 32
	// muchFewer requests are a change not worth telling.
	muchFewer = 2
	// muchShare is the part by which a load must change to be worth telling: the
	// choice between two copies rarely turns on less.
	muchShare = 4
)

// Plan is what to do now.
type Plan struct {
	Reads  []Server
	Row    Push
	Column Push
}

// Push is what to tell to whom.
type Push struct {
	To []galenastair.Peer
	Told
}

// told is what was last told of an engine in one direction.
type told struct {
	round   int
	at      time.Time
	load    int
	waiting bool
	digest  stateDigest
	states  int
}

// Plan decides for a region of entries that all route to all engines: without
// it each instance would read each engine, 14,000 reads a period at 53 instances
// and 270 engines, which is 80 times the budget.
func (c *Core) Plan(now time.Time, d Duties) Plan {
	c.settle(d)
	period := max(tellPeriod(c.share.grid, len(c.engines)), c.shortest)
	p := Plan{Reads: c.reads(now, period)}
	if !c.due(now, period) {
		return p
	}
	c.round = now
	c.rounds++
	p.Row = Push{c.share.grid.row, c.news(now, c.share.mine, rowOf)}
	p.Column = Push{c.share.grid.column, c.news(now, c.share.ofRow, columnOf)}
	return p
}

// share is what this instance has to do in one epoch.
type share struct {
	valid bool
	epoch galenastair.Epoch
	grid  grid
	all   []*known
	mine  []*known
	// ofRow are the engines that this instance and others of its row read.
	ofRow []*known
}

// settle works out the share anew when members, readers or engines changed.
func (c *Core) settle(d Duties) {
	if c.share.valid && c.share.epoch == d.Epoch() {
		return
	}
	self := d.Self().ID
	s := share{valid: true, epoch: d.Epoch(), grid: newGrid(d.Members(), self)}
	s.all = slices.Collect(maps.Values(c.engines))
	slices.SortFunc(s.all, func(a, b *known) int { return cmp.Compare(a.server.ID, b.server.ID) })
	for _, k := range s.all {
		reader, ok := d.Reader(k.server.ID)
		k.mine = ok && reader.ID == self
		if k.mine {
			s.mine = append(s.mine, k)
		}
		if k.mine || ok && s.grid.inRow(reader.ID) {
			s.ofRow = append(s.ofRow, k)
		}
	}
	c.share = s
}

// reads returns the engines to read: its own each period, and a few of others
// whose news is missing.
func (c *Core) reads(now time.Time, tell time.Duration) []Server {
	period := max(readPeriod(len(c.share.mine)), c.shortest)
	missing, first := 0, 0
	var reads []Server
	for _, k := range c.share.all {
		if now.Sub(k.asked) < period && !k.asked.IsZero() {
			continue
		}
		switch {
		case k.mine:
		case k.at.IsZero() && first < firstReads:
			first++
		case k.missing(now, silentRounds*tell) && missing < ownReads:
			missing++
		default:
			continue
		}
		k.asked = now
		reads = append(reads, k.server)
	}
	return reads
}

// missing says whether news of an engine has failed to come. A reader or relay
// that died or cannot reach this instance shows by it, whatever the cause.
func (k *known) missing(now time.Time, silence time.Duration) bool {
	return k.lacksState || now.Sub(k.at) > silence
}

// due says whether a round begins: each period, or within the shortest when a
// state changed, since a model that came or went must not wait for the load.
func (c *Core) due(now time.Time, period time.Duration) bool {
	since := now.Sub(c.round)
	if c.round.IsZero() || since >= period {
		return true
	}
	if since < c.shortest {
		return false
	}
	mine := func(k *known) bool { return !k.at.IsZero() && k.digest != k.row.digest }
	ofRow := func(k *known) bool { return !k.at.IsZero() && k.digest != k.column.digest }
	return slices.ContainsFunc(c.share.mine, mine) || slices.ContainsFunc(c.share.ofRow, ofRow)
}

// news returns what to tell of some engines in one direction.
func (c *Core) news(now time.Time, engines []*known, direction func(*known) *told) Told {
	var out Told
	for _, k := range engines {
		t := direction(k)
		switch {
		case k.at.IsZero():
		case t.worth(k, c.rounds):
			out.News = append(out.News, t.tell(now, k, c.rounds))
		case k.at.After(t.at):
			// without it the figures would look old, and a good engine silent
			t.at = k.at
			out.Unchanged = append(out.Unchanged, hashEngine(k.server.ID))
			out.UnchangedAge = max(out.UnchangedAge, now.Sub(k.at))
		}
	}
	return out
}

func rowOf(k *known) *told    { return &k.row }
func columnOf(k *known) *told { return &k.column }

// worth says whether an engine has changed since it was told, or must be told again.
func (t *told) worth(k *known, round int) bool {
	load := k.report.Running + k.report.Waiting
	change := max(load-t.load, t.load-load)
	return t.round == 0 ||
		round-t.round >= refreshRounds ||
		k.digest != t.digest || t.states > 0 ||
		(k.report.Waiting > 0) != t.waiting ||
		change >= muchFewer && change*muchShare >= t.load
}

func (t *told) tell(now time.Time, k *known, round int) News {
	if t.round == 0 || k.digest != t.digest {
		t.states = stateRounds
	}
	t.round = round
	t.at = k.at
	t.load = k.report.Running + k.report.Waiting
	t.waiting = k.report.Waiting > 0
	t.digest = k.digest
	n := News{
		Engine:  hashEngine(k.server.ID),
		Age:     now.Sub(k.at),
		Running: k.report.Running,
		Waiting: k.report.Waiting,
		Digest:  k.digest,
	}
	if t.states > 0 {
		t.states--
		state := k.report
		n.State = &state
	}
	return n
}
