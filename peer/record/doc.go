// Package record speaks to other instances about the log's streams, by twirp:
// what they still hold of the records, and the snapshots of their folds.
//
// Size: while the log is out of reach, four members are asked about every 0.85 s
// (or one in each availability zone, if there are more than four); a question
// with its answer was measured at 400 bytes, HTTP included. An instance asks and
// is asked as often: 3.8 KB/s, and nothing while the log answers. A fold is some
// 750 bytes for each organisation, once, for an instance that starts in an outage.
package record
