// Package demand is the twirp client and server by which entries report the demand for
// each model to the leader.
//
// Size: a model takes about 7 bytes, and a message 300 bytes of headers. In one region
// of the planned size, 53 entries with 200 models each report every 30 s: 3 KB/s at the
// leader, 60 bytes/s at the others. Period increases with the number of members to keep
// to that; with few members it is 5 s.
package demand
