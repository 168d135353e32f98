// Package planning is the twirp client and server of calls between instances and the
// leader, on the peers' port. Costs and loans are in the units of organisations'
// quotas, pending prompt tokens in tokens, times in milliseconds or microseconds. An
// instance that is not the leader replies so, and the client returns
// planner.ErrNotLeader. An exchange is about 300 bytes in each direction for 15
// backend servers, a few times a second.
package planning
