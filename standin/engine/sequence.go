package engine

import (
	"sync"
	"time"

	"galenastair"
)

// sequence is one request in the batch or waiting for it.
type sequence struct {
	id      galenastair.RequestID
	chat    bool
	request Request
	digest  uint64
	prompt  galenastair.Tokens
	limit   int
	arrival int64
	head    []byte

	mu        sync.Mutex
	produced  int
	cancelled bool
	silenced  int
	readers   int
	left      time.Time
	grown     chan struct{}
}

const defaultLimit = 16

func newSequence(id galenastair.RequestID, chat bool, r Request) *sequence {
	limit := r.MaxTokens
	if limit == 0 {
		limit = defaultLimit
	}
	return &sequence{
		id:      id,
		chat:    chat,
		request: r,
		digest:  Digest(r.Prompt),
		prompt:  PromptTokens(r.Prompt),
		limit:   limit,
		head:    renderHead(chat, id, r.Model),
		grown:   make(chan struct{}),
	}
}

// progress is what a reader of a sequence sees.
type progress struct {
	produced  int
	cancelled bool
	// silenced counts how often its connections were made silent.
	silenced int
	grown    <-chan struct{}
}

func (s *sequence) progress() progress {
	s.mu.Lock()
	defer s.mu.Unlock()
	return progress{s.produced, s.cancelled, s.silenced, s.grown}
}

func (s *sequence) change(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
	close(s.grown)
	s.grown = make(chan struct{})
}

// grow gives the sequence one token and says whether it was the last.
func (s *sequence) grow() (last bool) {
	s.change(func() { s.produced++ })
	return s.produced >= s.limit
}

func (s *sequence) cancel() { s.change(func() { s.cancelled = true }) }

func (s *sequence) isCancelled() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cancelled
}

// attach and detach count the connections that read the answer.
func (s *sequence) attach() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readers++
}

func (s *sequence) detach(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readers--
	s.left = now
}

// abandoned says whether nobody has read the answer for a while.
func (s *sequence) abandoned(now time.Time, after time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.readers == 0 && now.Sub(s.left) > after
}

func (s *sequence) tokens() galenastair.Tokens {
	return s.prompt + galenastair.Tokens(s.limit)
}

// silence makes its open connections show nothing more; a new one works.
func (s *sequence) silence() { s.change(func() { s.silenced++ }) }
