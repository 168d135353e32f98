// Package ratelimit keeps the rate limit that a backend server advertises, across all instances.
//
// The leader has one token bucket for each such server, in requests per second, and the instances
// ask it before each request to the server. An instance whose leader does not answer uses its own
// fraction of the rate. Nothing is stored: a new leader starts with empty buckets, so that it does
// not grant again what its predecessor has granted.
//
// Cost: about 200 bytes per limited server at the leader, and a call of about 100 bytes for each
// request that is sent to such a server or refused.
package ratelimit
