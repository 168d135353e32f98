package pool

import (
	"slices"

	"galenastair"
)

// SoftwareVersions returns the software versions of the registered servers of each service.
func (p *Pool) SoftwareVersions() map[galenastair.ServiceName][]galenastair.SoftwareVersion {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make(map[galenastair.ServiceName][]galenastair.SoftwareVersion, len(p.byService))
	for s, backends := range p.byService {
		for _, b := range backends {
			if !slices.Contains(out[s], b.Version) {
				out[s] = append(out[s], b.Version)
			}
		}
	}
	return out
}
