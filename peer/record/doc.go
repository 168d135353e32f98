// Package record is the twirp client and server by which instances read the log's
// streams from each other while the log is unreachable: the records that a peer still
// holds, and snapshots of the state that it has built from them.
//
// Size: while the log is unreachable, an instance queries four members about every
// 0.85 s (or one in each availability zone, if there are more than four). A query and
// its response take 400 bytes, including HTTP. An instance sends and receives the same
// number of queries: 3.8 KB/s, and nothing while the log is reachable. A snapshot is
// about 750 bytes per organisation, transferred once to an instance that starts while
// the log is unreachable.
package record
