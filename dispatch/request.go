package dispatch

import (
	"time"

	"galenastair"
	"galenastair/queue"
	"galenastair/route"
)

// Request is what the decisions need to know of a caller's request.
type Request struct {
	ID           galenastair.RequestID
	Organisation galenastair.Organisation
	// Weight is the contract's rate; fair shares are in proportion to it.
	Weight       galenastair.TokensPerSecond
	Model        galenastair.ModelName
	PromptTokens galenastair.Tokens
	// OutputTokens is the most that the answer may have.
	OutputTokens galenastair.Tokens
	// Prefix holds the chained hashes of the prompt's blocks, from route.Prefix.
	Prefix []uint64
	// Deadline is when the first token is no longer of use; zero for none.
	Deadline time.Time
	// Exclude names the backend servers that this request has already failed on.
	Exclude []galenastair.BackendServerID
}

func (r Request) cost() galenastair.Tokens { return r.PromptTokens + r.OutputTokens }

func (r Request) query() route.Query {
	return route.Query{Model: r.Model, Prefix: r.Prefix, Exclude: r.Exclude}
}

// Result tells how a granted request ended.
type Result struct {
	// FirstToken is the time from the grant to the first token, zero if none came;
	// needed only if Grant.FirstToken was not called.
	FirstToken time.Duration
	// OutputTokens counts what the backend server produced.
	OutputTokens galenastair.Tokens
	// Failed says that the backend server, not the caller, broke the request off.
	Failed bool
}

// Server is a backend server that the platform lists as a model engine.
type Server = route.Server

// Choice is where a request goes and why.
type Choice struct {
	route.Decision
	// Priority is the level for the engine; a lower one is served first.
	Priority int
	// Waited is how long the request stood in the queue.
	Waited time.Duration
}

// Decision is the outcome of a submitted request: a choice, or a refusal.
type Decision struct {
	Ticket *Ticket
	Choice Choice
	Err    *galenastair.Refusal
}

// Ticket is one submitted request on its way through the core.
type Ticket struct {
	Request   Request
	item      queue.Item
	submitted time.Time
	granted   time.Time
	first     time.Time
	server    galenastair.BackendServerID
	state     ticketState
}

type ticketState int

const (
	waiting ticketState = iota
	running
	ended
)
