// Package ratelimit keeps the rate that a backend server names for itself over all instances.
//
// The leader has one token bucket for each such server, in requests a second, and the
// instances ask it before each send; an instance whose leader does not answer goes by its
// part of the rate. Nothing is stored: a new leader begins with empty buckets, so that what
// the one before has granted is not granted again.
//
// Cost: some 200 bytes a limited server at the leader, and a call of some 100 bytes for each
// request that goes there, or is refused.
package ratelimit
