package proof

import (
	"time"

	"galenastair/relay"
)

// relays stand between the processes of a fleet.
type relays struct {
	// log, peer and engine are by the name of the process behind or before them.
	log    map[string]*relay.Relay
	peer   map[string]*relay.Relay
	engine map[string]*relay.Relay
}

func startRelays(f *Fleet) (*relays, error) {
	r := &relays{log: map[string]*relay.Relay{}, peer: map[string]*relay.Relay{}, engine: map[string]*relay.Relay{}}
	for _, e := range f.Entries {
		if err := add(r.log, e.Name, e.Log, f.Platform); err != nil {
			return r, err
		}
		if err := add(r.peer, e.Name, e.Peer, e.PeerListen); err != nil {
			return r, err
		}
	}
	for _, b := range append(f.Engines, f.Services...) {
		if err := add(r.engine, b.Name, b.Address, b.Listen); err != nil {
			return r, err
		}
	}
	return r, nil
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

func (r *relays) close() {
	for _, m := range []map[string]*relay.Relay{r.log, r.peer, r.engine} {
		for _, one := range m {
			one.Close()
		}
	}
}
