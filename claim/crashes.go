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
	// silenceTime is how long after a run a server of which nothing is seen any more counts as running on: without
	// requests there are no signs of life, and refused parts would never be cleared.
	silenceTime = 3 * time.Second
	// maxEndedRuns bounds the runs of a server that it has not outlived yet.
	maxEndedRuns = 256
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

// endedRun is a run that ended without a crash of its server.
type endedRun struct {
	Run
	endedAt   time.Time
	completed bool
}

// serverRuns is what is known of one process of a server.
type serverRuns struct {
	// ended holds the runs that the server has not been seen to outlive, oldest first.
	ended []endedRun
	// seenAt is its last sign of life, and crashedAt when it was seen to crash.
	seenAt, crashedAt time.Time
}

// CrashTracker decides what the ends of runs say about requests and about parts of prompts. A completed run
// clears them once its server is seen to have outlived it by survivalTime, and a server that crashes right after a
// run has crashed under its parts.
type CrashTracker struct {
	requests *PoisonTracker
	parts    *PartTracker
	cleared  func(Run)

	mu      sync.Mutex
	servers map[ServerProcess]*serverRuns
}

// NewCrashTracker returns a CrashTracker that records crashes and completions with the trackers. It calls
// cleared, if not nil, with each run that cleared crashes.
func NewCrashTracker(requests *PoisonTracker, parts *PartTracker, cleared func(Run)) *CrashTracker {
	if cleared == nil {
		cleared = func(Run) {}
	}
	return &CrashTracker{requests: requests, parts: parts, cleared: cleared, servers: map[ServerProcess]*serverRuns{}}
}

// server returns what is known of a process; t.mu is held.
func (t *CrashTracker) server(p ServerProcess) *serverRuns {
	s := t.servers[p]
	if s == nil {
		s = &serverRuns{}
		t.servers[p] = s
	}
	return s
}

// AllowRequest returns a refusal if identical requests have crashed too many servers.
func (t *CrashTracker) AllowRequest(now time.Time, d Digest) error { return t.requests.Allow(now, d) }

// AllowParts returns a refusal if one of the parts crashes servers.
func (t *CrashTracker) AllowParts(now time.Time, parts []Part) error {
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

// RecordEnd records that a run has ended, completed or not, and its server was not seen to crash.
func (t *CrashTracker) RecordEnd(now time.Time, r Run, completed bool) {
	if completed {
		t.ServerSeen(now, r.Server)
	}
	t.mu.Lock()
	s := t.server(r.Server)
	if s.seenAt.IsZero() {
		s.seenAt = now
	}
	crashed := now.Sub(s.crashedAt).Abs() < lateCrashWindow
	if !crashed && len(s.ended) < maxEndedRuns {
		s.ended = append(s.ended, endedRun{r, now, completed})
	}
	t.mu.Unlock()
	if crashed && r.blamesParts(now) {
		t.parts.RecordCrash(now, r.Parts, r.Server)
	}
}

// ServerSeen records a sign of life of a server. The completed runs that it has outlived clear their requests and
// parts.
func (t *CrashTracker) ServerSeen(now time.Time, p ServerProcess) {
	t.clear(now, t.takeOutlived(now, p))
}

// clear records the completed runs among those that their servers have outlived.
func (t *CrashTracker) clear(now time.Time, outlived []endedRun) {
	for _, r := range outlived {
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

// takeOutlived records a sign of life, and removes and returns the runs that the server has outlived.
func (t *CrashTracker) takeOutlived(now time.Time, p ServerProcess) []endedRun {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.server(p)
	if now.After(s.seenAt) {
		s.seenAt = now
	}
	return s.takeEndedBefore(now.Add(-survivalTime))
}

// takeEndedBefore removes and returns the runs that ended at a time or before.
func (s *serverRuns) takeEndedBefore(at time.Time) []endedRun {
	n := 0
	for n < len(s.ended) && !s.ended[n].endedAt.After(at) {
		n++
	}
	out := slices.Clone(s.ended[:n])
	s.ended = slices.Delete(s.ended, 0, n)
	return out
}

// ServerCrashed records that a server was seen to crash, by this or another instance.
func (t *CrashTracker) ServerCrashed(at time.Time, p ServerProcess) {
	t.ServerSeen(at, p)
	for _, r := range t.takeAll(at, p) {
		if at.Sub(r.endedAt).Abs() < lateCrashWindow && r.blamesParts(at) {
			t.parts.RecordCrash(at, r.Parts, p)
		}
	}
}

// takeAll records that a server has crashed, and removes and returns its runs.
func (t *CrashTracker) takeAll(at time.Time, p ServerProcess) []endedRun {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.server(p)
	s.crashedAt = at
	ended := s.ended
	s.ended = nil
	return ended
}

// ServerGone records that a server does not run any more. It may have crashed at any time since its last sign of
// life.
func (t *CrashTracker) ServerGone(p ServerProcess) {
	t.mu.Lock()
	s := *t.server(p)
	t.mu.Unlock()
	if !s.seenAt.IsZero() {
		t.ServerCrashed(s.seenAt, p)
	}
}

// Settle has the runs of silent servers count as outlived, and forgets servers of which nothing is left to know.
func (t *CrashTracker) Settle(now time.Time) {
	t.clear(now, t.takeSilent(now))
}

func (t *CrashTracker) takeSilent(now time.Time) []endedRun {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []endedRun
	for p, s := range t.servers {
		out = append(out, s.takeEndedBefore(now.Add(-silenceTime))...)
		if len(s.ended) == 0 && now.Sub(s.seenAt) >= silenceTime {
			delete(t.servers, p)
		}
	}
	return out
}
