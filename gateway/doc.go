// Package gateway is a reverse proxy that does not interpret request bodies. It uses a
// request's route, organisation, deadline and hints, and forwards path, body and response
// unchanged. It decides whether a request is admitted, which backend server it is sent to,
// whether it may be retried, and which error its caller receives.
//
// The methods that decide open no socket: the backend servers, the planner and the
// configuration are reached through interfaces. Each request uses memory for its body,
// 4 to 10 KB of buffers, and one goroutine of the HTTP server.
package gateway
