// Package record speaks to other instances about the log's streams, by twirp:
// what they still hold of the records, and the snapshots of their folds.
//
// Size: while the log is out of reach, two members of each availability zone
// are asked about every 0.85 s, some 200 bytes for a question with its answer:
// 1.9 KB/s at four zones, and nothing while the log answers. A fold costs 0.6 KB
// for each organisation, once, for an instance that starts in an outage.
package record
