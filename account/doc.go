// Package account enforces organisations' rate and burst in a large fleet. Each organisation's
// account is kept by one instance, its owner. Every request is charged at the owner with one small
// call.
//
// Organisations are hashed to a fixed number of shards, and the leader assigns shards to
// instances. It stores the table on the platform before it announces it. An owner charges at the
// full rate while the leader confirms it, at half the rate for some seconds after that, and then
// not at all. The successor of a lost owner starts with an empty account and at half the rate,
// until the previous owner certainly cannot charge any more. So both together never grant more
// than the rate, whichever is partitioned, suspended or restarted.
//
// State: one bucket for each owned organisation, and 64 addresses. Messages: one call of about 200
// bytes and its answer for each request.
package account
