// Package caller implements the HTTP API that the callers of organisations use. It is
// compatible with the OpenAI API: POST /v1/chat/completions and /v1/completions,
// streamed by server-sent events or not, and GET /v1/models. /services/NAME/...
// forwards requests to plain HTTP services. Callers authenticate with a bearer
// token. Every response carries X-Request-Id; a request with an Idempotency-Key is
// executed at most once.
//
// Errors use the OpenAI error object with four additional fields: code (stable),
// outcome (NotRun, Ran, Unknown), request_id and, if the caller may retry later,
// retry_after (seconds, also in the Retry-After header). A streamed response is
// complete only if it ends with "data: [DONE]"; a truncated one ends with an error
// event, after which the connection is aborted.
package caller
