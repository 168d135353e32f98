package config

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"galenastair"
)

func peersIn(zones ...galenastair.AvailabilityZone) []Peer {
	var peers []Peer
	for _, z := range zones {
		peers = append(peers, Peer{AvailabilityZone: z})
	}
	return peers
}

// A switch fails and leaves a group of instances without the log and the rest.
// A key that is withdrawn on the other side would go on working in the group.
// Seen failing with: touched not looked at (Relayed), unheard returning false
// (CutOff), Gone not looked at, size >= 2 left out, and hears always true or
// asking for an answer in the last round.
func TestReach(t *testing.T) {
	const limit = 4 * time.Second
	type answer struct {
		zone galenastair.AvailabilityZone
		age  time.Duration
	}
	all := peersIn("a", "a", "b", "b", "c", "c")
	gone := peersIn("a", "a", "b", "b", "c", "c")
	gone[4].Gone, gone[5].Gone = true, true
	tests := []struct {
		name    string
		contact time.Duration // how long ago the log answered
		rounds  int           // of questions since
		answers []answer
		peers   []Peer
		want    Standing
	}{
		{"the log answers", time.Second, 0, nil, all, InTouch},
		{"only this instance lost the log", time.Minute, 12, []answer{{"b", time.Second}}, all, Relayed},
		{"the log is down for all", time.Minute, 12, []answer{{"a", time.Minute}, {"b", time.Minute}, {"c", -1}}, all, DownForAll},
		{"one zone is silent", time.Minute, 12, []answer{{"a", time.Minute}, {"b", time.Minute}}, all, CutOff},
		{"one zone is gone from the list", time.Minute, 12, []answer{{"a", time.Minute}, {"b", time.Minute}}, gone, DownForAll},
		{"a dead instance was alone in its zone", time.Minute, 12, []answer{{"a", time.Minute}}, peersIn("a", "b"), DownForAll},
		{"nobody is heard", time.Minute, 12, nil, peersIn("a", "b"), CutOff},
		{"nobody is left", time.Minute, 12, nil, nil, DownForAll},
		{"the only peer is dead", time.Minute, 12, nil, peersIn("b"), DownForAll},
		{"the outage has just begun", 5 * time.Second, 2, []answer{{"a", 5 * time.Second}}, all, DownForAll},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			now := time.Now()
			r := newReach()
			for round := range tt.rounds {
				r.ask()
				for i, a := range tt.answers {
					// one zone after the other answers: the rest lost its answer, or asked the dead
					if round%len(tt.answers) == i {
						r.hear(now, a.zone, a.age, a.age >= 0)
					}
				}
			}
			is.Equal(r.judge(now, now.Add(-tt.contact), limit, tt.peers), tt.want)
		})
	}
}

// cutPeers are peers of which nobody answers.
type cutPeers struct{ noPeers }

func (cutPeers) Members() []Peer { return peersIn("a", "b") }

// The instance must refuse new requests, and take them again once the log answers.
// Seen failing with Ready not looking at the standing.
func TestCutOffInstanceIsNotReady(t *testing.T) {
	is := is.New(t)
	l := newFakeLog()
	fill(l, 1)
	clock := &handClock{now: time.Now()}
	f := NewFollower(l, WithPeers(cutPeers{}), WithClock(clock))
	is.NoErr(f.step(t.Context()))
	is.True(f.Ready())
	l.setDown(true)
	for range silentRounds {
		f.askPeers(t.Context())
	}
	clock.advance(time.Minute)
	f.judge()
	is.Equal(f.Standing(), CutOff)
	is.True(!f.Ready() && f.View() != nil)
	l.setDown(false)
	l.add(testRecord("x", KindKeyWithdrawn, KeyWithdrawn{KeyHash: testKey(1)}))
	is.NoErr(f.step(t.Context()))
	is.True(f.Ready())
}
