// Package config derives the configuration that every instance applies (contracts,
// keys, and which of two concurrent changes won) from the configuration stream of
// the platform's log.
//
// # Replicated state machine
//
// Every instance applies the same records in offset order to a deterministic state
// machine (StateMachine.Apply), so instances reach the same state without
// coordination. Records hold fields instead of the text of a contract file, so that
// old records keep their meaning when the file parser changes.
//
//   - ContractPublished and ContractWithdrawn name their base revision: the offset
//     of the organisation's last change. Of two changes with the same base, the first
//     is accepted and the second is rejected together with the change that won.
//   - KeyGiven adds a key. KeyWithdrawn names no base revision, so it is never
//     rejected as a conflict; its hash is stored permanently and no later record can
//     restore it. Both create a new revision, so a contract that was edited from an
//     earlier one is rejected.
//   - A contract that lists no keys keeps the current keys. One that lists keys must
//     list all current keys, because a missing key could mean either that it is kept
//     or that it is withdrawn.
//   - Withdrawing a contract withdraws its keys. The revision is retained, so a
//     duplicate of the contract's first record does not restore it.
//   - A key hash that belongs to another organisation is rejected, and so is a name
//     that is visually confusable with another organisation's name.
//   - A record whose ID was already applied is not applied again.
//   - Records of unknown kinds and malformed records are skipped and counted.
//
// # Changing the rules
//
// A program that acts on a record kind which older programs skip, or that validates
// names with a newer version of Unicode, would reach a different state than they do.
// It therefore applies the old rules until the stream contains a RulesRaised record,
// which an operator appends once every instance runs the new program. An instance
// that does not support the named version stops applying records there and is not
// ready; it keeps its last view, so it never uses a configuration that differs from
// that of the other instances. A snapshot names its rules version, and a snapshot
// with an unsupported version is not read.
//
// # Log retention
//
// The leader appends a snapshot of its state four times per retention period of the
// log (PublishSnapshots). Running instances compare the snapshot's digest with their
// own digest at that offset, and report and ignore a snapshot that differs. An
// instance whose next offset has expired starts from the newest snapshot whose data
// matches its digest. A leader's faulty snapshot therefore affects only instances
// that start while it is the newest; all others log SnapshotMismatch. Equal states
// have equal snapshots.
//
// # Log outages
//
// An instance that starts or lags while it cannot reach the log asks other instances
// for records or for a full snapshot (PeerClient). It accepts only higher offsets,
// and serves nothing to peers before it has a view: after a cold start during an
// outage no instance serves, because none knows which keys are valid.
//
// partitionDetector decides whether an instance may continue to serve. In short, the
// instance must hear from every availability zone, since the log may still be
// reachable from a zone that does not respond at all. A zone is ignored if the
// platform's list no longer contains its instances, or if it has a single instance.
// In two cases an outdated configuration is served for as long as the fault lasts:
// a zone with a single instance is cut off together with the log and the instance
// keeps running; or a whole region is cut off from a log outside the region, and the
// listed peers are all in that region. Requests that are in progress when an instance
// finds itself partitioned run to completion.
//
// # Performance
//
// Measured by the package's benchmarks and TestTimeUntilInForce on 12 shared
// cores, and with a byte counter at the stand-in platform:
//
//   - Applying 5,000 contracts of 20 models and 3 keys takes 0.27 s. A change and its
//     view cost 39 µs and 18 KB of garbage at 2,000 organisations, 100 µs and 60 KB at
//     14,000. A key lookup takes 97 ns without allocation.
//   - State machine and view hold 1.6 KB per organisation: 3.3 MB at 2,000, 21 MB at
//     14,000. A withdrawn key adds 24 bytes: 16 MB for 900 a day over two years.
//   - A snapshot takes 750 bytes per organisation: 1.5 MB at 2,000, in parts of
//     256 KB; it is written and read in 0.11 s.
//   - One of 370 idle instances reads the log every 3.7 s: 71 bytes/s, and 100 reads/s
//     at the log from all instances together. 4,500 changes a day add one read per
//     instance every 19 s, which is 19 reads/s at the log. Snapshots add their size
//     four times per retention period, multiplied by 1.8 on the wire (base64 in JSON,
//     twice): a calculated 500 bytes/s for 1.5 MB and 6 hours.
//   - A change is in force on 9 instances 1.3 ms after its append began (median;
//     254 ms at worst, with an append refused and retried), on 370 in one process
//     after 15 ms (24 ms), and on 9 of which three reach the log only through peers
//     after 1.0 s (1.5 s), each over 100 changes.
//   - A silent connection to the log is detected after the read's poll timeout plus
//     one second: 2 s at up to 100 instances, 4.7 s at 370.
package config
