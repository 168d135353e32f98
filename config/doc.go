// Package config turns the configuration stream of the platform's log into what
// every instance obeys: contracts, keys, and which of two racing changes won.
//
// # One fold
//
// Every instance folds the same records in the order of their offsets with one
// deterministic function (Fold.Apply), and so agrees with the others without
// talking to them. A record holds fields, and not the text of a file: the parser
// of files may change, and old records still mean the same.
//
//   - ContractPublished and ContractWithdrawn name the revision that they were
//     made from, the offset of the last change of that organisation. The first of
//     two changes of one revision is accepted, the second rejected with the winner.
//   - KeyGiven adds a key. KeyWithdrawn names no revision, so it loses no race; the
//     hash is kept for good and cannot come back, by whatever record. Both change
//     the revision: a contract made from a text of before is rejected.
//   - A contract that lists no keys keeps those in force. One that lists keys must
//     list all in force: a missing line could be read as kept or as withdrawn.
//   - Withdrawing a contract withdraws its keys. Its revision stays, so a copy of
//     its first record does not bring it back.
//   - A hash of another organisation is refused, and a name that reads like another.
//   - A record whose id was applied before is not applied again.
//   - Records of unknown kinds and unreadable ones are skipped and counted.
//
// # New versions of the rules
//
// A new program that acts on a kind which older ones skip, or that reads names
// by a newer version of Unicode, would fold otherwise than they do. It therefore
// keeps to the old rules until a RulesRaised record stands in the stream, which an
// operator appends once every instance runs the new program. An instance that
// does not know the named version stops folding there and is not ready; it keeps
// its last view, and never obeys another configuration than the rest. A snapshot
// names its rules, and one of newer rules is not read.
//
// # Records that expire
//
// The leader appends a snapshot of its fold four times within the log's retention
// (Republish). Running instances compare its digest with their own of that
// offset, and report and ignore one that differs; an instance whose wanted offset
// has expired begins at the newest snapshot whose data matches its digest. A
// leader's faulty snapshot can thus mislead only instances that start while it is
// the newest; all others log SnapshotMismatch. Equal folds have equal snapshots.
//
// # Without the log
//
// An instance that starts or lags while the log is out of its reach asks other
// instances for records, or for the whole fold (Peers). It takes higher offsets
// only, and gives nothing itself before it has a view: after a cold start in an
// outage nobody serves, since nobody knows which keys are valid.
//
// Whether it may serve on is decided by reach: see the rule there. In short, it
// must hear an instance of each availability zone, since the log may still answer
// a zone that is silent as a whole. A zone that the platform's list shows gone
// does not count, nor one of a single instance. Not covered, so that an old
// configuration is served by for as long as it lasts: a zone of one instance that
// is cut off together with the log and does not die; a whole region that is cut
// off from a log elsewhere, if the listed peers are of its own region alone.
// Requests that run when an instance finds itself cut off go on to their end.
//
// # Size
//
// Measured by the package's benchmarks and TestTimeUntilInForce on 12 shared
// cores, and with a byte counter at the stand-in platform:
//
//   - 5,000 contracts of 20 models and 3 keys fold in 0.27 s; a change and its view
//     cost 39 µs and 18 KB of garbage at 2,000 organisations, 100 µs and 60 KB at
//     14,000; a key is looked up in 97 ns without allocation.
//   - Fold and view hold 1.6 KB for each organisation: 3.3 MB at 2,000, 21 MB at
//     14,000. A withdrawn key adds 24 bytes, 16 MB for 900 a day in two years.
//   - A snapshot is 750 bytes for each organisation: 1.5 MB at 2,000, in parts of
//     256 KB; written and read in 0.11 s.
//   - An idle instance of 370 reads the log every 3.7 s: 71 bytes/s, and 100 reads
//     a second at the log from all together. 4,500 changes a day add one read
//     by each instance every 19 s, 19 reads a second at the log. Snapshots add
//     their size four times within the retention, 1.8 times as large on the way
//     (bytes in JSON twice): 500 bytes/s, worked out, for 1.5 MB and 6 hours.
//   - A change is in force on 9 instances 1.3 ms after its append began (median;
//     254 ms at worst, with an append refused and repeated), on 370 in one process
//     15 ms (24 ms), on 9 of which three reach the log by peers alone 1.0 s
//     (1.5 s), each of 100 changes.
//   - A connection to the log that goes silent is noticed after the wait of a read
//     and one second: 2 s at up to 100 instances, 4.7 s at 370.
package config
