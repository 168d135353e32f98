// Package place decides which backend server loads which model or adapter, and
// lets the leader carry that out. Planner is the decision: it opens no socket and
// starts no goroutine. Leader acts on it while its lease runs: it writes each order
// to the log, reads it back as valid and only then sends it.
//
// Size: a round over 270 replicas and 250 models keeps about 200 KB, given back
// after the round; between rounds some 100 bytes for each copy that was added. The
// leader asks one engine for its report (some 2 KB) before each order, and writes
// 550 bytes to the log for it: at one load a second below 3 KB/s, otherwise nothing.
package place
