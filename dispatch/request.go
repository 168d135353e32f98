package dispatch

import (
	"time"

	"galenastair"
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
	OutputTokens galenastair.Tokens
	// Prefix holds the chained hashes of the prompt's blocks, from route.Prefix.
	Prefix []uint64
	// Deadline is when the first token is no longer of use; zero for none.
	Deadline time.Time
	// Exclude names the backend servers that this request has already failed on.
	Exclude []galenastair.BackendServerID
}

// Result tells how a granted request ended.
type Result struct {
	// FirstToken is the time from the grant to the first token, zero if none came.
	FirstToken time.Duration
	// OutputTokens counts what the backend server produced.
	OutputTokens galenastair.Tokens
	// Failed says that the backend server, not the caller, broke the request off.
	Failed bool
}

// Server is a backend server that the platform lists as a model engine.
type Server struct {
	ID               galenastair.BackendServerID
	Address          string
	AvailabilityZone galenastair.AvailabilityZone
	Leaving          bool
}

// Choice is where a request goes and why.
type Choice struct {
	Server   galenastair.BackendServerID
	Address  string
	Priority int
	Reason   route.Reason
}
