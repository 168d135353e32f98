package record

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"galenastair"
	"galenastair/config"
)

type fakeSource struct{ view bool }

func (s fakeSource) ReadRecords(from galenastair.Offset) (galenastair.Batch, error) {
	if !s.view {
		return galenastair.Batch{}, config.ErrNotCaughtUp
	}
	rec := galenastair.LogRecord{Offset: from, Data: []byte("data")}
	return galenastair.Batch{Records: []galenastair.LogRecord{rec}, First: 3, Next: from + 1}, nil
}

func (s fakeSource) FetchSnapshot() ([]byte, error) { return []byte("fold"), nil }

func (s fakeSource) LogAge() time.Duration { return 5 * time.Second }

func serve(t *testing.T, h http.Handler) string {
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

// One peer has no configuration yet and one is down; the response of the third, with the
// age of the log, must be returned.
func TestReadRecordsWithFailedPeers(t *testing.T) {
	is := is.New(t)
	source := func(view bool) http.Handler {
		return NewServer(map[galenastair.Stream]Source{galenastair.ConfigurationStream: fakeSource{view}})
	}
	members := []config.Peer{
		{ID: "a", AvailabilityZone: "z1", Address: serve(t, source(true))},
		{ID: "b", AvailabilityZone: "z1", Address: "127.0.0.1:1"},
		{ID: "c", AvailabilityZone: "z2", Address: serve(t, source(false))},
	}
	c := NewClient(func() []config.Peer { return members })
	answers := c.ReadRecords(context.Background(), galenastair.ConfigurationStream, 7)
	is.Equal(len(answers), 1)
	is.Equal(answers[0].Peer, members[0])
	is.Equal(answers[0].LogAge, 5*time.Second)
	is.Equal(answers[0].Batch, galenastair.Batch{
		Records: []galenastair.LogRecord{{Offset: 7, Data: []byte("data")}}, First: 3, Next: 8,
	})
	fold, err := c.FetchSnapshot(context.Background(), galenastair.ConfigurationStream, members[0])
	is.NoErr(err)
	is.Equal(string(fold), "fold")
	is.Equal(len(c.ReadRecords(context.Background(), "other", 1)), 0)
}

func TestAge(t *testing.T) {
	is := is.New(t)
	is.True(decodeAge(encodeAge(-1)) < 0)
	is.Equal(decodeAge(encodeAge(0)), time.Duration(0))
}

// Rounds must query different members: if one of two members of a zone is down and the
// same member were queried each time, the zone would seem unreachable.
func TestChooseMembersIsRoundRobin(t *testing.T) {
	is := is.New(t)
	members := []config.Peer{{ID: "a", AvailabilityZone: "1"}, {ID: "b", AvailabilityZone: "1"}}
	for _, zone := range []galenastair.AvailabilityZone{"2", "3", "4"} {
		members = append(members, config.Peer{ID: galenastair.InstanceID(zone), AvailabilityZone: zone})
	}
	queried := make(map[galenastair.InstanceID]bool)
	for round := range 2 {
		chosen := chooseMembers(members, round)
		is.Equal(len(chosen), 4)
		for _, p := range chosen {
			queried[p.ID] = true
		}
	}
	is.Equal(len(queried), len(members))
	is.Equal(len(chooseMembers(members[:3], 0)), 3) // with two zones, both members of a zone are queried
}
