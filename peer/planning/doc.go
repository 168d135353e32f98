// Package planning carries what instances and the planner exchange over twirp, on the
// peers' port. Amounts are in the contract's units, unread prompts in tokens, times in
// milliseconds. An instance that does not hold the duty answers so, and
// planner.ErrNotLeader comes back. Size: an exchange is some 300 bytes each way for 15
// backend servers, a few times a second.
package planning
