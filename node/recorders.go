package node

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"galenastair"
	"galenastair/boottime"
)

const (
	// recorderCount is the number of instances of a region that keep where its streams began. One of
	// them outlives the loss of half of a small fleet in nearly all cases.
	recorderCount = 4
	// recordersTTL is how long the leader names the same recorders.
	recordersTTL = 500 * time.Millisecond
)

// recorderSet are the recorders of a region as the leader names them.
type recorderSet struct {
	addresses []string
	namedAt   boottime.Time
}

// recorderCandidate is an instance that may be named as a recorder.
type recorderCandidate struct {
	address string
	zone    galenastair.AvailabilityZone
	// distance is 0 in the region that the recorder is for, and 1 elsewhere.
	distance int
	hash     uint64
	// zoneRank is the number of instances of its zone that come before it.
	zoneRank int
}

// otherRecorderCount is the number of recorders of each other region that an instance asks, so that one of
// them may fail.
const otherRecorderCount = 2

// otherRecorders returns recorders of the regions that an availability zone is not in. An instance that is
// a recorder of several regions is named once.
func (d *instanceDirectory) otherRecorders(now boottime.Time, zone galenastair.AvailabilityZone) []string {
	own := d.recorders(now, zone)
	seen := map[galenastair.Region]bool{d.regions[zone]: true}
	var out []string
	for _, other := range slices.Sorted(maps.Keys(d.regions)) {
		region := d.regions[other]
		if seen[region] {
			continue
		}
		seen[region] = true
		named := d.recorders(now, other)
		for _, address := range named[:min(otherRecorderCount, len(named))] {
			if !slices.Contains(own, address) && !slices.Contains(out, address) {
				out = append(out, address)
			}
		}
	}
	return out
}

// recorders returns the instances that keep where the streams of a region began: the same ones from call
// to call as long as they report, in as many availability zones as possible.
func (d *instanceDirectory) recorders(now boottime.Time, zone galenastair.AvailabilityZone) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	region := d.regions[zone]
	if set, ok := d.recorderSets[region]; ok && now.Sub(set.namedAt) < recordersTTL {
		return set.addresses
	}
	if d.recorderSets == nil {
		d.recorderSets = map[galenastair.Region]recorderSet{}
	}
	addresses := chooseRecorders(d.recorderCandidates(now, region))
	d.recorderSets[region] = recorderSet{addresses, now}
	return addresses
}

func (d *instanceDirectory) recorderCandidates(now boottime.Time, region galenastair.Region) []recorderCandidate {
	var out []recorderCandidate
	for address, i := range d.instances {
		if i.stopping || i.isGone(now) {
			continue
		}
		c := recorderCandidate{address: address, zone: i.zone, hash: xxhash.Sum64String(address)}
		if i.region != region {
			c.distance = 1
		}
		out = append(out, c)
	}
	return out
}

// chooseRecorders prefers instances of the region, and then zones that have no recorder yet.
func chooseRecorders(candidates []recorderCandidate) []string {
	slices.SortFunc(candidates, func(a, b recorderCandidate) int { return cmp.Compare(a.hash, b.hash) })
	inZone := map[galenastair.AvailabilityZone]int{}
	for i, c := range candidates {
		candidates[i].zoneRank = inZone[c.zone]
		inZone[c.zone]++
	}
	slices.SortStableFunc(candidates, func(a, b recorderCandidate) int {
		return cmp.Or(cmp.Compare(a.distance, b.distance), cmp.Compare(a.zoneRank, b.zoneRank))
	})
	out := make([]string, 0, recorderCount)
	for _, c := range candidates[:min(recorderCount, len(candidates))] {
		out = append(out, c.address)
	}
	return out
}
