package engine

import (
	"sync"
	"time"

	"galenastair"
)

// sequence is a queued or running request and the tokens generated for it.
type sequence struct {
	id           galenastair.RequestID
	chat         bool
	request      Request
	digest       uint64
	promptTokens galenastair.Tokens
	maxTokens    int
	arrival      int64
	eventPrefix  []byte

	mu           sync.Mutex
	generated    int
	cancelled    bool
	silenceCount int
	readers      int
	detachedAt   time.Time
	updated      chan struct{}
}

const defaultMaxTokens = 16

func newSequence(id galenastair.RequestID, chat bool, r Request) *sequence {
	limit := r.MaxTokens
	if limit == 0 {
		limit = defaultMaxTokens
	}
	return &sequence{
		id:           id,
		chat:         chat,
		request:      r,
		digest:       PromptDigest(r.Prompt),
		promptTokens: PromptTokens(r.Prompt),
		maxTokens:    limit,
		eventPrefix:  renderEventPrefix(chat, id, r.Model),
		updated:      make(chan struct{}),
	}
}

// progress is a snapshot of a sequence for the connections that read it.
type progress struct {
	generated int
	cancelled bool
	// silenceCount is how often the sequence's open connections have been silenced.
	silenceCount int
	// updated is closed at the next change.
	updated <-chan struct{}
}

func (s *sequence) progress() progress {
	s.mu.Lock()
	defer s.mu.Unlock()
	return progress{s.generated, s.cancelled, s.silenceCount, s.updated}
}

func (s *sequence) update(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
	close(s.updated)
	s.updated = make(chan struct{})
}

// addToken adds one token and reports whether it was the last.
func (s *sequence) addToken() (last bool) {
	s.update(func() { s.generated++ })
	return s.generated >= s.maxTokens
}

func (s *sequence) cancel() { s.update(func() { s.cancelled = true }) }

func (s *sequence) isCancelled() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cancelled
}

// attach and detach count the connections that read the response.
func (s *sequence) attach() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readers++
}

func (s *sequence) detach(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readers--
	s.detachedAt = now
}

// isAbandoned reports whether the response has had no connection for longer than
// the timeout.
func (s *sequence) isAbandoned(now time.Time, after time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.readers == 0 && now.Sub(s.detachedAt) > after
}

func (s *sequence) totalTokens() galenastair.Tokens {
	return s.promptTokens + galenastair.Tokens(s.maxTokens)
}

// silence stops output on the open connections. A connection attached later works.
func (s *sequence) silence() { s.update(func() { s.silenceCount++ }) }
