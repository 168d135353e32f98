// Package httpserve runs HTTP servers whose shutdown drops no request: connections are closed
// only between requests, and a request that has to be cancelled gets a response. A response that is broken
// off does not look complete, also to an HTTP/1.0 client.
package httpserve
