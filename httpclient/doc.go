// Package httpclient has the HTTP client code that several packages share: transports with
// limits, and the detection of whether any byte of a failed request was sent.
//
// A tracked connection takes 24 more bytes, and a tracked request one small allocation.
package httpclient
