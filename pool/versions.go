package pool

import "galenastair"

// SoftwareVersions returns the number of registered servers of each software version of each service.
func (p *Pool) SoftwareVersions() map[galenastair.ServiceName]map[galenastair.SoftwareVersion]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make(map[galenastair.ServiceName]map[galenastair.SoftwareVersion]int, len(p.byService))
	for s, backends := range p.byService {
		for _, b := range backends {
			if out[s] == nil {
				out[s] = map[galenastair.SoftwareVersion]int{}
			}
			out[s][b.Version]++
		}
	}
	return out
}
