// Package caller serves callers over HTTP in the form that their clients
// already speak: POST /v1/chat/completions and /v1/completions, plain or
// streamed by server-sent events, GET /v1/models, and /services/NAME/... for
// plain services. The key comes as a bearer token. X-Request-Id is returned on
// every answer; Idempotency-Key marks a request that may not be repeated.
//
// Errors carry the error object of that form with four fields of our own:
// code (stable), outcome (NotRun, Ran, Unknown), request_id and, where there is
// a time to come back, retry_after (seconds, also in the Retry-After header).
// A streamed answer is whole only if it ends with "data: [DONE]"; one that was
// cut ends with an error event and a broken connection.
package caller
