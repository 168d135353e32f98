package config

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"galenastair"
)

func peersInZones(zones ...galenastair.AvailabilityZone) []Peer {
	var peers []Peer
	for _, z := range zones {
		peers = append(peers, Peer{AvailabilityZone: z})
	}
	return peers
}

// A switch failure partitions a group of instances from the log and the other instances. A
// key that is withdrawn on the other side would stay valid in the group.
// Fails if evaluate ignores peerContact (ConnectedByPeers); if partitioned returns false
// (Partitioned), ignores Deregistered, or omits size >= 2; or if responsive is always true
// or requires a response in the last round.
func TestPartitionDetector(t *testing.T) {
	const limit = 4 * time.Second
	type response struct {
		zone galenastair.AvailabilityZone
		age  time.Duration
	}
	all := peersInZones("a", "a", "b", "b", "c", "c")
	deregistered := peersInZones("a", "a", "b", "b", "c", "c")
	deregistered[4].Deregistered, deregistered[5].Deregistered = true, true
	tests := []struct {
		name      string
		contact   time.Duration // time since the log answered
		rounds    int           // rounds of requests since then
		responses []response
		peers     []Peer
		want      Connectivity
	}{
		{"the log answers", time.Second, 0, nil, all, Connected},
		{"only this instance cannot reach the log", time.Minute, 12, []response{{"b", time.Second}}, all, ConnectedByPeers},
		{"the log is down", time.Minute, 12, []response{{"a", time.Minute}, {"b", time.Minute}, {"c", -1}}, all, LogDown},
		{"one zone does not respond", time.Minute, 12, []response{{"a", time.Minute}, {"b", time.Minute}}, all, Partitioned},
		{"one zone is deregistered", time.Minute, 12, []response{{"a", time.Minute}, {"b", time.Minute}}, deregistered, LogDown},
		{"the only instance of a zone is dead", time.Minute, 12, []response{{"a", time.Minute}}, peersInZones("a", "b"), LogDown},
		{"no peer responds", time.Minute, 12, nil, peersInZones("a", "b"), Partitioned},
		{"no peers", time.Minute, 12, nil, nil, LogDown},
		{"the only peer is dead", time.Minute, 12, nil, peersInZones("b"), LogDown},
		{"the outage has just begun", 5 * time.Second, 2, []response{{"a", 5 * time.Second}}, all, LogDown},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			now := time.Now()
			d := newPartitionDetector()
			for round := range tt.rounds {
				d.beginRound()
				for i, a := range tt.responses {
					// one zone responds per round: the other responses were lost, or dead instances
					// were asked
					if round%len(tt.responses) == i {
						d.recordResponse(now, a.zone, a.age, a.age >= 0)
					}
				}
			}
			is.Equal(d.evaluate(now, now.Add(-tt.contact), limit, tt.peers), tt.want)
		})
	}
}

// unreachablePeers are peers that do not respond.
type unreachablePeers struct{ noPeers }

func (unreachablePeers) Members() []Peer { return peersInZones("a", "b") }

// A partitioned instance must not be ready, and must be ready again once the log answers.
// Fails if Ready ignores the connectivity.
func TestPartitionedInstanceIsNotReady(t *testing.T) {
	is := is.New(t)
	l := newFakeLog()
	publishContracts(l, 1)
	clock := &fakeClock{now: time.Now()}
	f := NewFollower(l, WithPeers(unreachablePeers{}), WithClock(clock))
	is.NoErr(f.poll(t.Context()))
	is.True(f.Ready())
	l.setDown(true)
	for range maxUnansweredRounds {
		f.readFromPeers(t.Context())
	}
	clock.advance(time.Minute)
	f.updateConnectivity()
	is.Equal(f.Connectivity(), Partitioned)
	is.True(!f.Ready() && f.View() != nil)
	l.setDown(false)
	l.add(testRecord("x", KindKeyWithdrawn, KeyWithdrawn{KeyHash: testKey(1)}))
	is.NoErr(f.poll(t.Context()))
	is.True(f.Ready())
}
