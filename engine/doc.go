// Package engine is an HTTP client of model engines.
//
//	POST   /v1/chat/completions, /v1/completions   an OpenAI API request; always
//	       with stream=true and stream_options.include_usage=true
//	GET    /v1/streams/ID        with Last-Event-ID: N: resumes after event N
//	DELETE /v1/streams/ID        cancels the request
//	POST   /control/orders       galenastair.Order
//	GET    /control/report       galenastair.EngineReport
//	GET    /control/events?after=N   EventsResponse
//	POST   /control/kv           CacheTransfer -> CacheTransfer
//
// The JSON bodies under /control have field names in Pascal case, durations in
// nanoseconds and memory in bytes. The header X-Request-Id carries the request ID;
// the engine returns it in its response. The body field "priority" is an integer;
// lower values are served first.
//
// A streamed response is text/event-stream. Each event has "id: N", numbered from
// 1 without gaps, and "data:" with a JSON object whose "id" is the request ID. The
// last event has "data: [DONE]". Comment lines (": ping") keep the connection
// alive while a request is queued.
//
// Errors: an engine that has not run a request, or has not acted on an order,
// returns the header X-Outcome: NotRun, which maps to ErrDeclined (DeclinedError
// has the status and Retry-After). An order with an outdated fencing token gets
// 409 and X-Outcome: StaleFence, which maps to ErrStaleFence. A request of which
// no byte was sent maps to ErrNotSent. A stream that the engine does not know gets
// 404 and maps to ErrStreamNotFound. With any other error it is unknown whether the
// request ran; these map to ErrBackendFailed, ErrProgressTimeout, ErrInvalidResponse
// or ErrResponseTruncated.
//
// Cost: an open stream takes about 10 KB (a 4 KB read buffer, the connection's
// 4 KB buffer and a timer); each event costs one allocation.
package engine
