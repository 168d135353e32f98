// Package place decides which backend server loads which model or adapter, and sends the
// orders that carry this out. Planner makes the decisions; it opens no socket and starts
// no goroutine. Leader applies them while this instance holds the leader lease: it writes
// each order to the log, reads it back as valid and only then sends it. Engines that check
// fencing tokens need no such record.
//
// Size: a planning round over 270 backend servers and 250 models takes about 200 KB, which
// is released after the round. Between rounds the planner keeps about 100 bytes for each copy
// that it added. The leader fetches a report of about 2 KB from one engine before each
// order and writes 550 bytes to the log for it: less than 3 KB/s at one load per second, and
// nothing while nothing is loaded.
package place
