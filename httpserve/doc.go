// Package httpserve runs HTTP servers whose shutdown drops no request: connections are closed
// only between requests, and a request that has to be cancelled gets a response.
package httpserve
