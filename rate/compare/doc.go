// Package compare drives ways of keeping an organisation within its rate and burst
// over all instances through the same requests, with a clock moved by hand, and
// prints what each refuses and what it costs.
//
// The requests come from a printed seed. What a way refuses is held against one
// bucket that every instance could reach at no cost: a refusal counts as within
// the rate if that bucket grants the request. Left out: the time that messages
// take, and callers that come back after a refusal.
package compare
