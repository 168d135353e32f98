package load

import (
	"time"

	"github.com/prometheus/procfs"

	"galenastair"
)

// usage is what a process has used so far.
type usage struct {
	cpu  time.Duration
	peak galenastair.Bytes
}

// processUsage reads the usage of a process; a process that is not named has none.
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
		cpu:  time.Duration(stat.CPUTime() * float64(time.Second)),
		peak: galenastair.Bytes(status.VmHWM),
	}, nil
}
