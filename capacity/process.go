package capacity

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"galenastair"
)

// ticksPerSecond is the unit of processor time in /proc on Linux.
const ticksPerSecond = 100

// the fields of /proc/PID/stat behind the command's closing parenthesis.
const (
	fieldUserTime   = 11
	fieldSystemTime = 12
)

var errProc = eris.New("/proc cannot be read")

// processorTime returns what a process has used of a processor so far.
func processorTime(pid int) (time.Duration, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, eris.Wrap(errProc, err.Error())
	}
	_, rest, found := strings.Cut(string(data), ") ")
	fields := strings.Fields(rest)
	if !found || len(fields) <= fieldSystemTime {
		return 0, errProc
	}
	user, err1 := strconv.ParseInt(fields[fieldUserTime], 10, 64)
	system, err2 := strconv.ParseInt(fields[fieldSystemTime], 10, 64)
	if err1 != nil || err2 != nil {
		return 0, errProc
	}
	return time.Duration(user+system) * time.Second / ticksPerSecond, nil
}

// memory returns a process's resident memory.
func memory(pid int) (galenastair.Bytes, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, eris.Wrap(errProc, err.Error())
	}
	for line := range strings.Lines(string(data)) {
		text, found := strings.CutPrefix(line, "VmRSS:")
		if !found {
			continue
		}
		kib, err := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(text), "kB")), 10, 64)
		if err != nil {
			return 0, errProc
		}
		return galenastair.Bytes(kib << 10), nil
	}
	return 0, errProc
}
