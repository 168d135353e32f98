package pool

import (
	"maps"
	"slices"
	"time"

	"galenastair"
)

// SetEvacuated sets the availability zones whose servers must get no new requests, each with the
// earliest time at which the evacuation may have begun. The servers of a zone that is taken back
// count as cold, since they may have been restarted and their registrations are seconds old.
func (p *Pool) SetEvacuated(now time.Time, zones map[galenastair.AvailabilityZone]time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, b := range p.backends {
		_, before := p.evacuated[b.AvailabilityZone]
		if _, evacuated := zones[b.AvailabilityZone]; before && !evacuated {
			b.extendCold(now.Add(p.coldStarts[b.Service].Duration))
		}
	}
	p.evacuated = maps.Clone(zones)
}

// withdrawalEnd reports whether a server is withdrawn, that is, leaving or in an evacuated
// availability zone, and until when it still gets requests that no other server can answer.
func (p *Pool) withdrawalEnd(b *backend) (time.Time, bool) {
	end, withdrawn := b.leaveStart.Add(p.leaveGrace), b.Leaving || b.leaveAnnounced
	if since, evacuated := p.evacuated[b.AvailabilityZone]; evacuated {
		if e := since.Add(p.evacuationGrace); !withdrawn || e.Before(end) {
			end = e
		}
		withdrawn = true
	}
	return end, withdrawn
}

func (p *Pool) isWithdrawn(b *backend) bool {
	_, withdrawn := p.withdrawalEnd(b)
	return withdrawn
}

// inRegions reports whether a server may run a request that is restricted to some regions.
func (p *Pool) inRegions(b *backend, regions []galenastair.Region) bool {
	if len(regions) == 0 {
		return true
	}
	region, known := p.regions[b.AvailabilityZone]
	return known && slices.Contains(regions, region)
}
