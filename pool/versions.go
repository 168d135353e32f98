package pool

import (
	"time"

	"galenastair"
)

// versionMemory is how long a software version counts after the last registration of it. Streams that
// began at it may still be resumed then.
const versionMemory = 10 * time.Minute

// versionHistory holds the time of the last registration of each software version of a service.
type versionHistory map[galenastair.SoftwareVersion]time.Time

func (p *Pool) recordVersion(now time.Time, s Server) {
	if p.versions[s.Service] == nil {
		p.versions[s.Service] = versionHistory{}
	}
	p.versions[s.Service][s.Version] = now
}

// Versions returns the software versions that servers of a service have, or have had until recently.
func (p *Pool) Versions(now time.Time, s galenastair.ServiceName) []galenastair.SoftwareVersion {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, b := range p.byService[s] {
		p.recordVersion(now, b.Server)
	}
	var out []galenastair.SoftwareVersion
	for v, at := range p.versions[s] {
		if now.Sub(at) > versionMemory {
			delete(p.versions[s], v)
			continue
		}
		out = append(out, v)
	}
	return out
}
