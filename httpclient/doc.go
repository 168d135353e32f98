// Package httpclient holds what the adapters that speak HTTP share: transports
// with limits, and the certainty whether a failed request was sent at all.
//
// Size: a tracked connection adds 24 bytes; a request adds one small allocation.
package httpclient
