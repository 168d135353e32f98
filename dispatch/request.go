package dispatch

import (
	"time"

	"galenastair"
	"galenastair/queue"
	"galenastair/route"
)

// Request holds the properties of a caller's request that the decisions depend on.
type Request struct {
	ID           galenastair.RequestID
	Organisation galenastair.Organisation
	// Weight is the contract rate. Fair shares are proportional to it.
	Weight       galenastair.TokensPerSecond
	Model        galenastair.ModelName
	PromptTokens galenastair.Tokens
	// OutputTokens is the maximum number of output tokens.
	OutputTokens galenastair.Tokens
	// PrefixHashes holds the chained hashes of the prompt's blocks, from route.PrefixHashes.
	PrefixHashes []uint64
	// Deadline is the latest useful time for the first token, zero for none.
	Deadline time.Time
	// Exclude lists the backend servers on which this request has already failed.
	Exclude []galenastair.BackendServerID
}

func (r Request) cost() galenastair.Tokens { return r.PromptTokens + r.OutputTokens }

func (r Request) query() route.Query {
	return route.Query{Model: r.Model, PrefixHashes: r.PrefixHashes, Exclude: r.Exclude}
}

// Result describes how a granted request ended.
type Result struct {
	// TimeToFirstToken is measured from the grant, zero if no token came. It is needed only
	// if Grant.FirstToken was not called.
	TimeToFirstToken time.Duration
	// OutputTokens counts the tokens that the backend server produced.
	OutputTokens galenastair.Tokens
	// Failed reports that the backend server, and not the caller, aborted the request.
	Failed bool
}

// Server is a backend server that the platform lists as a model engine.
type Server = route.Server

// Choice is the backend server for a request and the reason for choosing it.
type Choice struct {
	route.Decision
	// Priority is the priority level for the engine. Lower levels are served first.
	Priority int
	// QueueTime is how long the request waited in the queue.
	QueueTime time.Duration
}

// Decision is the choice for a submitted request or its refusal.
type Decision struct {
	Ticket *Ticket
	Choice Choice
	Err    *galenastair.Refusal
}

// Ticket is the handle of one submitted request in the Scheduler.
type Ticket struct {
	Request      Request
	item         queue.Item
	submittedAt  time.Time
	grantedAt    time.Time
	firstTokenAt time.Time
	server       galenastair.BackendServerID
	state        ticketState
}

type ticketState int

const (
	queued ticketState = iota
	running
	ended
)
