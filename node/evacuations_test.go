package node

import (
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/matryer/is"

	"galenastair"
)

type evacuated map[galenastair.AvailabilityZone]time.Time

func watchEvacuations() (*evacuations, *evacuated) {
	e, last := newEvacuations(log.NewNopLogger()), &evacuated{}
	e.onChange = func(zones map[galenastair.AvailabilityZone]time.Time) { *last = zones }
	return e, last
}

func evacuation(zone string, at galenastair.Offset, value string) galenastair.KeyedRecord {
	return galenastair.KeyedRecord{Key: "evacuate/" + zone, Offset: at, Value: []byte(value)}
}

func batch(records ...galenastair.KeyedRecord) galenastair.KeyedBatch {
	return galenastair.KeyedBatch{Records: records}
}

// Guards against an evacuation that counts from when an instance reads it: the bound counts from
// its acknowledgement, which may be as early as the last confirmed state without it.
func TestEvacuationCountsFromTheLastStateWithoutIt(t *testing.T) {
	is := is.New(t)
	e, last := watchEvacuations()
	confirmed := time.Unix(100, 0)
	e.apply(batch(evacuation("z1", 1, "{}")), false, confirmed)
	is.Equal((*last)["z1"], confirmed)
	e.apply(batch(evacuation("z1", 1, "{}")), true, confirmed.Add(time.Minute))
	is.Equal((*last)["z1"], confirmed)
	e.apply(batch(evacuation("z1", 2, "")), false, confirmed.Add(time.Minute))
	is.Equal(len(*last), 0)
}

// Guards against a zone that stays evacuated because its return was dropped from the store's
// history, and against one that an old record evacuates again.
func TestEvacuationsFollowListingsAndOffsets(t *testing.T) {
	is := is.New(t)
	e, last := watchEvacuations()
	e.apply(batch(evacuation("z1", 1, "{}"), evacuation("z2", 2, "{}")), false, time.Time{})
	is.Equal(len(*last), 2)
	e.apply(batch(evacuation("z2", 2, "{}")), true, time.Time{})
	is.Equal(e.zones(), []galenastair.AvailabilityZone{"z2"})
	e.apply(batch(evacuation("z2", 5, "")), false, time.Time{})
	e.apply(batch(evacuation("z2", 2, "{}")), false, time.Time{})
	is.Equal(len(e.zones()), 0)
}
