package demand

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"galenastair"
	"galenastair/dispatch"
)

// encode and decode must preserve the work of each model.
func TestDemandRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := rapid.SliceOfDistinct(rapid.StringMatching(`[a-z0-9-]{1,20}`), rapid.ID[string]).Draw(t, "names")
		known := map[uint32]galenastair.ModelName{}
		want := map[galenastair.ModelName]float64{}
		var ds []dispatch.Demand
		for _, n := range names {
			m := galenastair.ModelName(n)
			known[hash(m)] = m
			work := float64(rapid.Uint32().Draw(t, "work"))
			want[m] = work
			ds = append(ds, dispatch.Demand{Model: m, Work: work})
		}
		got := decode(encode("entry-1", ds), known)
		if len(got) != len(want) {
			t.Fatalf("decoded %d models, want %d", len(got), len(want))
		}
		for _, d := range got {
			if want[d.Model] != d.Work {
				t.Fatalf("%s: %v, want %v", d.Model, d.Work, want[d.Model])
			}
		}
	})
}

// Reports of 53 members with 200 models each must take less than 3.5 KB/s at the leader.
func TestLeaderTraffic(t *testing.T) {
	is := is.New(t)
	var ds []dispatch.Demand
	for i := range 200 {
		ds = append(ds, dispatch.Demand{Model: galenastair.ModelName(string(rune('a'+i%26)) + string(rune('a'+i/26))), Work: 50000})
	}
	const members, headers = 53, 300
	size := proto.Size(encode("entry-1", ds)) + headers
	perSecond := float64(members*size) / Period(members).Seconds()
	is.True(perSecond < 3.5*1024) // an instance may use 6 KB/s for all control traffic
	is.Equal(Period(9), 5*time.Second)
}
