// Package engine is a fake model engine for tests. It implements the API that
// galenastair/engine calls, and in addition:
//
//	GET, POST /switches            Faults; a POST changes only the fields in its body
//	GET       /control/runs        RunsResponse: how often each request ran
//	GET       /control/violations  ViolationsResponse: memory overcommitments
//
// The engine uses continuous batching: the duration of a step grows with the batch,
// and each step generates one token for each request in the batch. A token is a
// function of model, prompt and position (Token), so a client can verify a complete
// response, and the engine resumes a stream without storing its events. An order that
// overcommits memory is executed and recorded as a violation, so that tests see it.
//
// The accelerator's memory has two fixed partitions, one for weights and one for the
// KV cache. Reports give the weight partition as MemoryTotal and MemoryUsed, and the
// used part of the KV cache (running requests and cached prefixes) as CacheUsed.
package engine
