package load

import (
	"time"

	"github.com/prometheus/procfs"

	"galenastair"
)

// usage is the resource usage of a process since its start.
type usage struct {
	cpu        time.Duration
	peakMemory galenastair.Bytes
}

// processUsage reads the usage of a process; it is zero if pid is 0.
func processUsage(pid int) (usage, error) {
	if pid == 0 {
		return usage{}, nil
	}
	p, err := procfs.NewProc(pid)
	if err != nil {
		return usage{}, err
	}
	stat, err := p.Stat()
	if err != nil {
		return usage{}, err
	}
	status, err := p.NewStatus()
	if err != nil {
		return usage{}, err
	}
	return usage{
		cpu:        time.Duration(stat.CPUTime() * float64(time.Second)),
		peakMemory: galenastair.Bytes(status.VmHWM),
	}, nil
}
