package engine

import "galenastair"

// HTTP headers of the protocol between this client and engines.
const (
	HeaderRequestID   = "X-Request-Id"
	HeaderOutcome     = "X-Outcome"
	HeaderLastEventID = "Last-Event-ID"
)

// Values of HeaderOutcome.
const (
	OutcomeNotRun     = "NotRun"
	OutcomeStaleFence = "StaleFence"
)

// EventsResponse holds cache events in ascending order of sequence; there may be gaps.
type EventsResponse struct {
	Events []galenastair.CacheEvent
}

// TransferKind is the direction of a KV cache transfer.
type TransferKind string

// Directions of a KV cache transfer, as seen from the engine.
const (
	ExportCache TransferKind = "Export"
	ImportCache TransferKind = "Import"
)

// CacheTransfer exports the KV cache of one prompt prefix from an engine, or imports it.
type CacheTransfer struct {
	Kind   TransferKind
	Model  galenastair.ModelName
	Prefix uint64
	// Tokens is the length of the prefix.
	Tokens galenastair.Tokens
}
