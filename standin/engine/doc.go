// Package engine stands in for a model engine in tests. The wire forms are those
// of galenastair/engine, and besides:
//
//	GET, POST /switches            Switches; a POST changes only the fields it names
//	GET       /control/runs        RunsAnswer: how often each request ran
//	GET       /control/violations  ViolationsAnswer: memory that was overcommitted
//
// It batches continuously: each step takes longer with the batch and gives each
// request in it one token. Tokens are a function of model, prompt and position
// (Token), so that a caller can verify a whole answer and the engine need not
// keep events for a resume. An order that overcommits memory is carried out and
// recorded as a violation, never hidden.
//
// Memory of weights and of the KV cache are two fixed parts of the accelerator:
// reports give the part for weights as MemoryTotal and MemoryUsed, and the KV
// part's cached prefixes as CacheUsed.
package engine
