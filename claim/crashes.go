package claim

import (
	"slices"
	"sync"
	"time"
)

const (
	// crashWindow is how long a server may have answered a request and still have crashed because it began to.
	crashWindow = 2 * time.Second
	// lateCrashWindow is how long after a run its server may still crash because of it, and survivalTime how long
	// it must run on before that says that it did not.
	lateCrashWindow = 100 * time.Millisecond
	survivalTime    = 700 * time.Millisecond
	// settleTime is survivalTime and the time in which other instances tell of a crash.
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
// clears them only if its server outlives it by survivalTime, and a server that crashes right after a run has
// crashed under its parts.
type CrashTracker struct {
	requests *PoisonTracker
	parts    *PartTracker
	cleared  func(Run)

	mu sync.Mutex
	// ended holds the runs of the last settleTime, oldest first, and crashed when servers have crashed since.
	ended   []endedRun
	crashed map[ServerProcess]time.Time
	// seen is when runs of servers have last ended.
	seen map[ServerProcess]time.Time
}

// NewCrashTracker returns a CrashTracker that records crashes and completions with the trackers. It calls
// cleared, if not nil, with each run that cleared crashes.
func NewCrashTracker(requests *PoisonTracker, parts *PartTracker, cleared func(Run)) *CrashTracker {
	if cleared == nil {
		cleared = func(Run) {}
	}
	return &CrashTracker{requests: requests, parts: parts, cleared: cleared, crashed: map[ServerProcess]time.Time{}, seen: map[ServerProcess]time.Time{}}
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
	t.seen[r.Server] = now
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

// ServerCrashed records that a server was seen to crash, by this or another instance.
func (t *CrashTracker) ServerCrashed(at time.Time, s ServerProcess) {
	for _, r := range t.takeRunsOf(at, s) {
		if at.Sub(r.endedAt).Abs() < lateCrashWindow && r.blamesParts(at) {
			t.parts.RecordCrash(at, r.Parts, s)
		}
	}
}

// ServerGone records that a server does not run any more. It may have crashed at any time since its last run.
func (t *CrashTracker) ServerGone(s ServerProcess) {
	t.mu.Lock()
	at, ok := t.seen[s]
	t.mu.Unlock()
	if ok {
		t.ServerCrashed(at, s)
	}
}

// takeRunsOf removes and returns the runs that a server which has crashed did not outlive.
func (t *CrashTracker) takeRunsOf(at time.Time, s ServerProcess) []endedRun {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.crashed[s] = at
	var out []endedRun
	t.ended = slices.DeleteFunc(t.ended, func(r endedRun) bool {
		if r.Server != s || at.Sub(r.endedAt) >= survivalTime {
			return false
		}
		out = append(out, r)
		return true
	})
	return out
}

// Settle clears the requests, and the parts, of completed runs that their servers have outlived.
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
	for s, at := range t.seen {
		if now.Sub(at) >= settleTime {
			delete(t.seen, s)
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
