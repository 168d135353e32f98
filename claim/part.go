package claim

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"galenastair"
)

// Part is a short hash of a part of a prompt at one service.
type Part uint64

// PartsOf returns the parts of a prompt that can crash the servers of a service. The last part belongs
// to the request alone.
func PartsOf(s galenastair.ServiceName, parts []galenastair.PromptPart) []Part {
	var out []Part
	for i := range len(parts) - 1 {
		out = append(out, Part(xxhash.Sum64String(string(s)+"\x00"+parts[i].ID)))
	}
	return out
}

// PartEvent is the crash of a backend server that was about to answer a request with a part or, if
// Server is empty, the completion of such a request, which clears the part.
type PartEvent struct {
	Part   Part
	Server ServerProcess
	At     time.Time
}

// IsClear reports whether the event clears the part.
func (e PartEvent) IsClear() bool { return e.Server == "" }

// partRecord holds the servers that have crashed under a part since it was last cleared.
type partRecord struct {
	servers []ServerProcess
	// firstAt and lastAt are the times of the first and the last crash.
	firstAt, lastAt time.Time
	// completedLately reports that a request with the part was completed shortly before the first crash.
	completedLately bool
}

// minCrashSpan is the least time between the first and the last crash under a part that is refused. When
// several servers are lost at once, parts that many requests share are cleared within it.
const minCrashSpan = 500 * time.Millisecond

// suspect reports whether the part has crashed enough servers to be refused.
func (r *partRecord) suspect(threshold int) bool {
	return len(r.servers) >= threshold && r.lastAt.Sub(r.firstAt) >= minCrashSpan
}

// expired reports whether the record has ended.
func (r *partRecord) expired(now time.Time) bool { return now.Sub(r.lastAt) >= refusalDuration }

// refusedFor returns how long the part is refused after its last crash. One that was completed lately soon gets
// another try, as only a completion can clear it.
func (r *partRecord) refusedFor() time.Duration {
	if r.completedLately {
		return completedPartRefusal
	}
	return refusalDuration
}

// unexplainedBy returns the number of servers that have not crashed under another part.
func (r *partRecord) unexplainedBy(o *partRecord) int {
	n := 0
	for _, s := range r.servers {
		if !slices.Contains(o.servers, s) {
			n++
		}
	}
	return n
}

func (r *partRecord) add(e PartEvent) bool {
	if slices.Contains(r.servers, e.Server) || len(r.servers) >= maxPartServers {
		return false
	}
	if len(r.servers) == 0 || e.At.Before(r.firstAt) {
		r.firstAt = e.At
	}
	if e.At.After(r.lastAt) {
		r.lastAt = e.At
	}
	r.servers = append(r.servers, e.Server)
	return true
}
