package proof

import (
	"time"

	"galenastair/relay"
)

// Relays stand between the processes of a fleet.
type Relays struct {
	// log, peer and engine are by the name of the process behind or before them.
	log    map[string]*relay.Relay
	peer   map[string]*relay.Relay
	engine map[string]*relay.Relay
}

// StartRelays starts all relays of a fleet, or none.
func StartRelays(f *Fleet) (*Relays, error) {
	r := &Relays{log: map[string]*relay.Relay{}, peer: map[string]*relay.Relay{}, engine: map[string]*relay.Relay{}}
	if err := r.start(f); err != nil {
		r.Close()
		return nil, err
	}
	return r, nil
}

func (r *Relays) start(f *Fleet) error {
	for _, e := range f.Entries {
		if err := add(r.log, e.Name, e.Log, f.Platform); err != nil {
			return err
		}
		if err := add(r.peer, e.Name, e.Peer, e.PeerListen); err != nil {
			return err
		}
	}
	for _, b := range append(f.Engines, f.Services...) {
		if err := add(r.engine, b.Name, b.Address, b.Listen); err != nil {
			return err
		}
	}
	return nil
}

func add(to map[string]*relay.Relay, name, address, target string) error {
	r, err := relay.New(target, relay.WithAddress(address))
	if err != nil {
		return err
	}
	to[name] = r
	return nil
}

// down takes a relay down for a while: open connections are cut, new ones refused.
func down(r *relay.Relay, d time.Duration) error {
	r.Down()
	r.Cut()
	time.Sleep(d)
	return r.Up()
}

// Close ends all relays.
func (r *Relays) Close() {
	for _, m := range []map[string]*relay.Relay{r.log, r.peer, r.engine} {
		for _, one := range m {
			one.Close()
		}
	}
}

// Traffic is how many bytes the relays have forwarded, both ways together, by the
// name of the process that a relay belongs to.
type Traffic struct {
	// Platform is between an entry and the platform, Peer what others sent an
	// entry with its answers, Engine between all entries and a backend server.
	Platform map[string]int64
	Peer     map[string]int64
	Engine   map[string]int64
}

// Traffic returns what has been forwarded so far.
func (r *Relays) Traffic() Traffic {
	return Traffic{Platform: count(r.log), Peer: count(r.peer), Engine: count(r.engine)}
}

func count(m map[string]*relay.Relay) map[string]int64 {
	out := make(map[string]int64, len(m))
	for name, one := range m {
		out[name] = one.Bytes()
	}
	return out
}

// Since returns what was forwarded after an earlier count.
func (t Traffic) Since(before Traffic) Traffic {
	return Traffic{
		Platform: difference(t.Platform, before.Platform),
		Peer:     difference(t.Peer, before.Peer),
		Engine:   difference(t.Engine, before.Engine),
	}
}

func difference(after, before map[string]int64) map[string]int64 {
	out := make(map[string]int64, len(after))
	for name, n := range after {
		out[name] = n - before[name]
	}
	return out
}
