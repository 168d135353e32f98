package node

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/go-kit/log"

	"galenastair"
	"galenastair/platform"
)

// evacuations holds the availability zones whose backend servers must get no new requests.
type evacuations struct {
	logger log.Logger
	// onChange gets the evacuated zones with the earliest time at which each may have been.
	onChange func(zones map[galenastair.AvailabilityZone]time.Time)

	mu      sync.Mutex
	since   map[galenastair.AvailabilityZone]time.Time
	offsets map[galenastair.AvailabilityZone]galenastair.Offset
}

func newEvacuations(logger log.Logger) *evacuations {
	return &evacuations{
		logger:  logger,
		since:   map[galenastair.AvailabilityZone]time.Time{},
		offsets: map[galenastair.AvailabilityZone]galenastair.Offset{},
	}
}

// apply applies a batch of the configuration topic. confirmed is the last time at which the topic
// was known to have none of the batch's records, zero if there is none.
func (e *evacuations) apply(b galenastair.KeyedBatch, snapshot bool, confirmed time.Time) {
	e.mu.Lock()
	before := maps.Clone(e.since)
	listed := map[galenastair.AvailabilityZone]bool{}
	for _, r := range b.Records {
		zone, ok := platform.EvacuatedZone(r.Key)
		if !ok {
			continue
		}
		listed[zone] = true
		e.applyRecord(zone, r, confirmed)
	}
	if snapshot {
		maps.DeleteFunc(e.since, func(zone galenastair.AvailabilityZone, _ time.Time) bool { return !listed[zone] })
	}
	after := maps.Clone(e.since)
	e.mu.Unlock()
	if !sameZones(before, after) {
		e.logger.Log("event", "evacuation", "zones", zoneNames(after), "before", zoneNames(before))
		e.onChange(after)
	}
}

// applyRecord ignores a record that is older than the zone's last one: pages of a listing and
// hints of other instances may overlap.
func (e *evacuations) applyRecord(zone galenastair.AvailabilityZone, r galenastair.KeyedRecord, confirmed time.Time) {
	if r.Offset < e.offsets[zone] {
		return
	}
	e.offsets[zone] = r.Offset
	if len(r.Value) == 0 {
		delete(e.since, zone)
	} else if _, known := e.since[zone]; !known {
		e.since[zone] = confirmed
	}
}

// zones returns the evacuated availability zones, sorted.
func (e *evacuations) zones() []galenastair.AvailabilityZone {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Sorted(maps.Keys(e.since))
}

func sameZones(a, b map[galenastair.AvailabilityZone]time.Time) bool {
	return maps.EqualFunc(a, b, func(time.Time, time.Time) bool { return true })
}

func zoneNames(zones map[galenastair.AvailabilityZone]time.Time) string {
	var names []string
	for _, zone := range slices.Sorted(maps.Keys(zones)) {
		names = append(names, string(zone))
	}
	return strings.Join(names, ",")
}
