package proof

import (
	"time"

	"galenastair/relay"
)

// Relays are the TCP relays between the processes of a fleet.
type Relays struct {
	// log has the relays from entries to the log of the platform, peer those from
	// other instances to an entry, and engine those to backend servers, engines and
	// plain services alike. The keys are the names of the entry or backend server.
	log    map[string]*relay.Relay
	peer   map[string]*relay.Relay
	engine map[string]*relay.Relay
}

// StartRelays starts all relays of a fleet. If one fails to start, it closes the others.
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
		if err := addRelay(r.log, e.Name, e.LogAddress, f.PlatformAddress); err != nil {
			return err
		}
		if err := addRelay(r.peer, e.Name, e.PeerAddress, e.PeerListenAddress); err != nil {
			return err
		}
	}
	for _, b := range append(f.Engines, f.Services...) {
		if err := addRelay(r.engine, b.Name, b.Address, b.ListenAddress); err != nil {
			return err
		}
	}
	return nil
}

func addRelay(to map[string]*relay.Relay, name, address, target string) error {
	r, err := relay.New(target, relay.WithAddress(address))
	if err != nil {
		return err
	}
	to[name] = r
	return nil
}

// interrupt takes a relay down for a time: open connections are cut and new ones are
// refused.
func interrupt(r *relay.Relay, d time.Duration) error {
	r.StopListening()
	r.CloseConns()
	time.Sleep(d)
	return r.ResumeListening()
}

// Close closes all relays.
func (r *Relays) Close() {
	for _, m := range []map[string]*relay.Relay{r.log, r.peer, r.engine} {
		for _, one := range m {
			one.Close()
		}
	}
}

// ByteCounts has the number of bytes that the relays have forwarded in both directions,
// by the name of the process that a relay belongs to.
type ByteCounts struct {
	// Platform counts bytes between an entry and the platform, Peer the requests of
	// other instances to an entry with the responses, and Engine bytes between all
	// entries and a backend server.
	Platform map[string]int64
	Peer     map[string]int64
	Engine   map[string]int64
}

// ByteCounts returns the number of bytes forwarded so far.
func (r *Relays) ByteCounts() ByteCounts {
	return ByteCounts{Platform: byteCounts(r.log), Peer: byteCounts(r.peer), Engine: byteCounts(r.engine)}
}

func byteCounts(m map[string]*relay.Relay) map[string]int64 {
	out := make(map[string]int64, len(m))
	for name, one := range m {
		out[name] = one.ForwardedBytes()
	}
	return out
}

// Sub returns the number of bytes forwarded since an earlier count.
func (c ByteCounts) Sub(earlier ByteCounts) ByteCounts {
	return ByteCounts{
		Platform: subtract(c.Platform, earlier.Platform),
		Peer:     subtract(c.Peer, earlier.Peer),
		Engine:   subtract(c.Engine, earlier.Engine),
	}
}

func subtract(after, before map[string]int64) map[string]int64 {
	out := make(map[string]int64, len(after))
	for name, n := range after {
		out[name] = n - before[name]
	}
	return out
}
