// Package engine speaks to model engines over HTTP.
//
//	POST   /v1/chat/completions, /v1/completions   a request in the usual form of
//	       the OpenAI API; it always asks for a stream with a usage event
//	GET    /v1/streams/ID        with Last-Event-ID: N: the answer from event N+1 on
//	DELETE /v1/streams/ID        cancels
//	POST   /control/orders       galenastair.Order
//	GET    /control/report       galenastair.EngineReport
//	GET    /control/events?after=N   EventsAnswer
//	POST   /control/kv           CacheTransfer -> CacheTransfer
//
// Own forms have Pascal-case names, durations in nanoseconds, memory in bytes.
// The header X-Request-Id names a request; the engine returns it. The body field
// "priority" is an integer, and the lower one is served first.
//
// A streamed answer is text/event-stream. Each event has "id: N", counted from 1
// without a gap, and "data:" with an object whose "id" is the request's. The end
// mark is one more event with "data: [DONE]". Comment lines (": ping") show that
// a connection lives while a request waits.
//
// Errors: an engine that certainly did not run a request, or did not act on an
// order, says so with the header X-Outcome: NotRun, which maps to ErrDeclined
// (type Declined has the status and Retry-After); an order with an old fencing
// number gets 409 and X-Outcome: StaleFence, which maps to ErrStaleFence. A
// request of which no byte was sent maps to ErrNotSent. A stream that the engine
// does not know gets 404 and maps to ErrStreamGone. Any other error leaves the
// outcome unknown and maps to ErrBackendServer, ErrSilent, ErrCrossed or
// ErrAnswerCut.
//
// Size: an open stream holds about 10 KB here (a 4 KB read buffer, the
// connection's 4 KB and one timer); an event costs one allocation.
package engine
