package claim

import (
	"slices"
	"sync"
	"time"
)

const (
	// crashWindow is how long a server may have answered a request and still have crashed because it began to.
	crashWindow = 2 * time.Second
	// lateCrashWindow is how long after a run its server may still crash because of it.
	lateCrashWindow = 500 * time.Millisecond
	// settleTime is how long a server must run on after a request before that says something. A server may
	// crash only after a short response, and other instances tell of it about a second later.
	settleTime = 1500 * time.Millisecond
	// maxEndedRuns bounds the runs that are remembered for settleTime.
	maxEndedRuns = 4096
)

// Run is an attempt of a request at one process of a backend server.
type Run struct {
	Digest Digest
	Parts  []Part
	Server ServerProcess
	// AnsweredSince is the time of the first event, zero if there was none.
	AnsweredSince time.Time
}

// blamesParts reports whether the server may have crashed because it began to answer the request.
func (r *Run) blamesParts(crashedAt time.Time) bool {
	return r.AnsweredSince.IsZero() || crashedAt.Sub(r.AnsweredSince) < crashWindow
}

// endedRun is a run that ended while its server ran on.
type endedRun struct {
	Run
	endedAt   time.Time
	completed bool
}

// CrashTracker decides what the ends of runs say about requests and about parts of prompts. A completed run
// clears them only once its server has outlived it, and a server that crashes right after a run has crashed under its parts.
type CrashTracker struct {
	requests *PoisonTracker
	parts    *PartTracker
	cleared  func(Run)

	mu sync.Mutex
	// ended holds the runs of the last settleTime, oldest first, and crashed when servers have crashed since.
	ended   []endedRun
	crashed map[ServerProcess]time.Time
}

// NewCrashTracker returns a CrashTracker that records crashes and completions with the trackers. It calls
// cleared, if not nil, with each run that cleared crashes.
func NewCrashTracker(requests *PoisonTracker, parts *PartTracker, cleared func(Run)) *CrashTracker {
	if cleared == nil {
		cleared = func(Run) {}
	}
	return &CrashTracker{requests: requests, parts: parts, cleared: cleared, crashed: map[ServerProcess]time.Time{}}
}

// AllowRequest returns a refusal if identical requests have crashed too many servers.
func (t *CrashTracker) AllowRequest(now time.Time, d Digest) error {
	t.Settle(now)
	return t.requests.Allow(now, d)
}

// AllowParts returns a refusal if one of the parts crashes servers.
func (t *CrashTracker) AllowParts(now time.Time, parts []Part) error {
	t.Settle(now)
	return t.parts.Allow(now, parts)
}

// RecordCrash records that a server has crashed during a run, and reports whether that counts for the parts of
// its prompt.
func (t *CrashTracker) RecordCrash(now time.Time, r Run) (countsForParts bool) {
	t.requests.RecordCrash(now, Crash{Digest: r.Digest, Server: r.Server})
	countsForParts = r.blamesParts(now)
	if countsForParts {
		t.parts.RecordCrash(now, r.Parts, r.Server)
	}
	t.ServerCrashed(now, r.Server)
	return countsForParts
}

// RecordEnd records that a run has ended, completed or not, while its server ran on.
func (t *CrashTracker) RecordEnd(now time.Time, r Run, completed bool) {
	t.mu.Lock()
	_, crashed := t.crashed[r.Server]
	if !crashed {
		if len(t.ended) >= maxEndedRuns {
			t.ended = t.ended[1:]
		}
		t.ended = append(t.ended, endedRun{r, now, completed})
	}
	t.mu.Unlock()
	if crashed && r.blamesParts(now) {
		t.parts.RecordCrash(now, r.Parts, r.Server)
	}
}

// ServerCrashed records that a server was seen to have crashed, by this or another instance.
func (t *CrashTracker) ServerCrashed(at time.Time, s ServerProcess) {
	for _, r := range t.takeRunsOf(at, s) {
		if at.Sub(r.endedAt) < lateCrashWindow && r.blamesParts(at) {
			t.parts.RecordCrash(at, r.Parts, s)
		}
	}
}

// takeRunsOf removes and returns the ended runs of a server that has crashed.
func (t *CrashTracker) takeRunsOf(at time.Time, s ServerProcess) []endedRun {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.crashed[s] = at
	var out []endedRun
	t.ended = slices.DeleteFunc(t.ended, func(r endedRun) bool {
		if r.Server == s {
			out = append(out, r)
		}
		return r.Server == s
	})
	return out
}

// Settle clears the requests, and the parts, of completed runs whose servers have run on since.
func (t *CrashTracker) Settle(now time.Time) {
	for _, r := range t.takeSettled(now) {
		if !r.completed {
			continue
		}
		clearedRequest := t.requests.RecordSuccess(now, r.Digest)
		clearedParts := t.parts.RecordSuccess(now, r.Parts)
		if clearedRequest || clearedParts {
			t.cleared(r.Run)
		}
	}
}

func (t *CrashTracker) takeSettled(now time.Time) []endedRun {
	t.mu.Lock()
	defer t.mu.Unlock()
	for s, at := range t.crashed {
		if now.Sub(at) >= settleTime {
			delete(t.crashed, s)
		}
	}
	n := 0
	for n < len(t.ended) && now.Sub(t.ended[n].endedAt) >= settleTime {
		n++
	}
	out := slices.Clone(t.ended[:n])
	t.ended = slices.Delete(t.ended, 0, n)
	return out
}
