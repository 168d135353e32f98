package engine

import (
	"context"
	"os"
	"time"

	"galenastair"
	"galenastair/standin/journal"
)

// Settings configures an Engine.
type Settings struct {
	// Memory is the memory for weights, CacheMemory that for the KV cache of running
	// requests and of prompt prefixes.
	Memory      galenastair.Bytes
	CacheMemory galenastair.Bytes
	// BytesPerToken is the size of one token in the KV cache.
	BytesPerToken galenastair.Bytes
	// The duration of a step is the sum of BaseStep, StepPerRequest for each request in
	// the batch, and PrefillPerToken for each prompt token that is not cached.
	BaseStep        time.Duration
	StepPerRequest  time.Duration
	PrefillPerToken time.Duration
	MaxBatchSize    int
	MaxQueueLength  int
	// ReportLag and EventLag delay reports and cache events.
	ReportLag time.Duration
	EventLag  time.Duration
	// EventLossRate is the fraction of cache events that are lost, 0 to 1.
	EventLossRate float64
	ChecksFence   bool
	// Poison is a string that ends the process when a request with it in its prompt
	// starts to run. Empty disables this.
	Poison string
	// ResumeTimeout is how long a request without a connection keeps running and can
	// be resumed.
	ResumeTimeout time.Duration
	// PingInterval is the interval of keep-alive comments on a stream without events.
	PingInterval time.Duration
	// Journal records the requests that ran. Nil disables it.
	Journal *journal.Journal
	// Load fetches a weight from the platform's weight store.
	Load func(context.Context, galenastair.ModelWeights) error
	// Exit ends the process.
	Exit func()
}

// DefaultSettings returns the settings of a small accelerator.
func DefaultSettings() Settings {
	return Settings{
		Memory:          64 << 30,
		CacheMemory:     16 << 30,
		BytesPerToken:   128 << 10,
		BaseStep:        5 * time.Millisecond,
		StepPerRequest:  100 * time.Microsecond,
		PrefillPerToken: 10 * time.Microsecond,
		MaxBatchSize:    64,
		MaxQueueLength:  4096,
		ReportLag:       100 * time.Millisecond,
		EventLag:        200 * time.Millisecond,
		ResumeTimeout:   10 * time.Second,
		PingInterval:    time.Second,
		Load:            func(context.Context, galenastair.ModelWeights) error { return nil },
		Exit:            func() { os.Exit(1) },
	}
}

// Faults are the faults to inject. They can be changed while the engine runs.
type Faults struct {
	// Slow multiplies the duration of each step; 0 means 1.
	Slow float64
	// Frozen pauses the batch and makes every request hang.
	Frozen bool
	// SilentStreams makes the streams that are open now send nothing more, while their
	// connections stay open. It resets itself; streams opened later work.
	SilentStreams bool
	// Crossed replaces the request ID in events by that of another request.
	Crossed bool
	// CutAfter closes the connection of each stream after this many events; 0 disables it.
	CutAfter int
	// LoseOrders drops orders before they are executed. LoseOrderAnswers executes them
	// and closes the connection without a response.
	LoseOrders       bool
	LoseOrderAnswers bool
	// OrderDelay is the delay before an order is executed.
	OrderDelay time.Duration
}
