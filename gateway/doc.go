// Package gateway carries requests that it does not understand: it knows a request's
// route, organisation, deadline and hints, and passes path, body and answer on as they
// are. It decides whether a request is admitted, where it is sent, whether it may be
// sent once more, and what its caller is told.
//
// Decisions are in methods that open no socket; the backend servers, the planner and
// the store's view come in through interfaces. Each request costs its body, 4 to 10 KB
// of buffers, and one goroutine of the HTTP server.
package gateway
