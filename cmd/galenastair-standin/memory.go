package main

import (
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"time"
)

// memory is what the gateway holds, in bytes: its resident set, and unread and unsent bytes in its sockets.
type memory struct{ resident, unread, unsent int64 }

func (m memory) total() int64 { return m.resident + m.unread + m.unsent }

func (m memory) String() string {
	return fmt.Sprintf("resident=%.1fMB unread=%.1fMB unsent=%.1fMB total=%.1fMB", float64(m.resident)/1e6, float64(m.unread)/1e6, float64(m.unsent)/1e6, float64(m.total())/1e6)
}

func (s *slowLoad) readMemory() memory {
	var m memory
	if text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", s.pid)); err == nil {
		if parts := strings.Fields(string(text)); len(parts) > 1 {
			pages, _ := strconv.ParseInt(parts[1], 10, 64)
			m.resident = pages * int64(os.Getpagesize())
		}
	}
	entry, backend := hexPort(s.entry), hexPort(s.backendAddress)
	for _, name := range []string{"tcp", "tcp6"} {
		text, _ := os.ReadFile(fmt.Sprintf("/proc/net/%s", name))
		for line := range strings.Lines(string(text)) {
			p := strings.Fields(line)
			if len(p) < 5 || p[3] == "0A" || !strings.HasSuffix(p[1], entry) && !strings.HasSuffix(p[2], backend) {
				continue
			}
			unsent, unread, _ := strings.Cut(p[4], ":")
			out, _ := strconv.ParseInt(unsent, 16, 64)
			in, _ := strconv.ParseInt(unread, 16, 64)
			m.unsent, m.unread = m.unsent+out, m.unread+in
		}
	}
	return m
}

// clockTick is the unit of processor time in /proc.
const clockTick = 10 * time.Millisecond

// processorTime returns the processor time that the gateway has used.
func (s *slowLoad) processorTime() time.Duration {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", s.pid))
	if err != nil {
		return 0
	}
	// the second field, the name, may hold spaces
	_, rest, _ := strings.Cut(string(text), ") ")
	p := strings.Fields(rest)
	if len(p) < 13 {
		return 0
	}
	user, _ := strconv.Atoi(p[11])
	system, _ := strconv.Atoi(p[12])
	return time.Duration(user+system) * clockTick
}

func hexPort(address string) string {
	_, port, _ := net.SplitHostPort(address)
	n, _ := strconv.Atoi(port)
	return fmt.Sprintf(":%04X", n)
}
