package engine

import "galenastair"

// The headers that the adapter and engines use beside the usual ones.
const (
	HeaderRequestID   = "X-Request-Id"
	HeaderOutcome     = "X-Outcome"
	HeaderLastEventID = "Last-Event-ID"
)

// The values of HeaderOutcome.
const (
	OutcomeNotRun     = "NotRun"
	OutcomeStaleFence = "StaleFence"
)

// EventsAnswer holds cache events in the order of their sequence, with gaps.
type EventsAnswer struct {
	Events []galenastair.CacheEvent
}

// TransferKind says which way KV cache moves.
type TransferKind string

// The kinds of transfer.
const (
	ExportCache TransferKind = "Export"
	ImportCache TransferKind = "Import"
)

// CacheTransfer moves the KV cache of one prompt prefix out of or into an engine.
type CacheTransfer struct {
	Kind   TransferKind
	Model  galenastair.ModelName
	Prefix uint64
	// Tokens is how much of a prompt the prefix covers.
	Tokens galenastair.Tokens
}
