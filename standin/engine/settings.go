package engine

import (
	"context"
	"os"
	"time"

	"galenastair"
	"galenastair/standin/journal"
)

// Settings are what an engine is started with.
type Settings struct {
	// Memory is for weights, CacheMemory for the KV cache of requests and prefixes.
	Memory      galenastair.Bytes
	CacheMemory galenastair.Bytes
	// BytesPerToken is the KV cache of one token.
	BytesPerToken galenastair.Bytes
	// A step takes BaseStep, StepPerRequest for each request in the batch, and
	// PrefillPerToken for each prompt token that is not cached.
	BaseStep        time.Duration
	StepPerRequest  time.Duration
	PrefillPerToken time.Duration
	MaxBatch        int
	MaxWaiting      int
	// ReportLag and EventLag are how late reports and cache events come.
	ReportLag time.Duration
	EventLag  time.Duration
	// EventGaps is the share of cache events that never come.
	EventGaps   float64
	ChecksFence bool
	// Poison is a word in a prompt that ends the process when it runs; empty is none.
	Poison string
	// ResumeFor is how long a request without a connection goes on and is known.
	ResumeFor time.Duration
	// Ping is how often a waiting stream shows that it lives.
	Ping time.Duration
	// Journal is where runs are written down; nil is nowhere.
	Journal *journal.Journal
	// Load fetches a weight from the platform's store.
	Load func(context.Context, galenastair.Weight) error
	// Exit ends the process.
	Exit func()
}

// DefaultSettings are those of a small accelerator.
func DefaultSettings() Settings {
	return Settings{
		Memory:          64 << 30,
		CacheMemory:     16 << 30,
		BytesPerToken:   128 << 10,
		BaseStep:        5 * time.Millisecond,
		StepPerRequest:  100 * time.Microsecond,
		PrefillPerToken: 10 * time.Microsecond,
		MaxBatch:        64,
		MaxWaiting:      4096,
		ReportLag:       100 * time.Millisecond,
		EventLag:        200 * time.Millisecond,
		ResumeFor:       10 * time.Second,
		Ping:            time.Second,
		Load:            func(context.Context, galenastair.Weight) error { return nil },
		Exit:            func() { os.Exit(1) },
	}
}

// Switches are what a test changes while the engine runs.
type Switches struct {
	// Slow multiplies the time of each step; zero counts as one.
	Slow float64
	// Frozen stops steps and makes every request hang.
	Frozen bool
	// SilentStreams makes the streams that are open now go silent for good, once.
	SilentStreams bool
	// Crossed puts another request's id into the events.
	Crossed bool
	// CutAfter cuts each stream after so many events; zero cuts none.
	CutAfter int
	// LoseOrders drops orders unread, LoseOrderAnswers cuts the answer after the effect.
	LoseOrders       bool
	LoseOrderAnswers bool
	// OrderDelay passes before an order takes effect.
	OrderDelay time.Duration
}
