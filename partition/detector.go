package partition

import "time"

const (
	// minServers is the number of servers of a probe that can show a partition. A single server
	// that accepts no connection may have crashed.
	minServers = 2
	// minProbeInterval bounds the probes of an instance whose attempts fail for other reasons.
	minProbeInterval = 250 * time.Millisecond
)

// Probe is the result of connecting to a sample of the servers of a service.
type Probe struct {
	// Tried is the number of servers, and Connected is set if one has accepted.
	Tried     int
	Connected bool
}

// Detector decides whether this instance is partitioned from all servers of one service. Its zero
// value is an instance that is not.
type Detector struct {
	partitioned bool
	probedAt    time.Time
}

// Partitioned reports whether the instance is partitioned.
func (d *Detector) Partitioned() bool { return d.partitioned }

// ShouldProbe reports whether to connect to a sample of servers, after an attempt without a response.
func (d *Detector) ShouldProbe(now time.Time) bool {
	if now.Sub(d.probedAt) < minProbeInterval {
		return false
	}
	d.probedAt = now
	return true
}

// RecordProbe applies the result of a probe and reports whether it changed Partitioned.
func (d *Detector) RecordProbe(p Probe) bool {
	before := d.partitioned
	d.partitioned = !p.Connected && (before && p.Tried > 0 || p.Tried >= minServers)
	return d.partitioned != before
}
