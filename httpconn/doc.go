// Package httpconn carries single requests over HTTP/1.1 connections that it keeps.
//
// Unlike the transport of net/http it never sends a request a second time by itself,
// tells whether any byte of a failed request can have left, and hands back only
// connections on which nothing follows the answer. Sizes are bytes; all times are
// durations. Errors wrap galenastair.ErrNotSent, ErrSilent, ErrAnswerCut or ErrCrossed.
// A kept connection costs its two buffers, 6 KB together, and no goroutine.
package httpconn
