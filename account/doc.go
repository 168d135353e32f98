// Package account holds organisations to their rate and burst in a large fleet: each
// organisation's account is kept by one instance, its owner, which every request is charged
// at, in one small call.
//
// Organisations are dealt to a fixed number of shards, and shards to instances by the leader,
// which leaves the table on the platform before it tells it. An owner charges at the full
// rate while the leader confirms it, at half of it for some seconds after, and then not at
// all. One that replaces a lost owner begins with nothing and at half of the rate, until the
// one before can certainly not charge any more: both together never grant more than the rate,
// whoever is cut off, suspended or started again.
//
// State: one bucket for each owned organisation, and 64 addresses. Messages: one call of some
// 200 bytes and its answer for each request.
package account
