// Package load puts an open-loop load on entries or engines and tells how it
// fared: requests arrive by a schedule from a seed, whether or not earlier ones
// have been answered, and times count from the arrival that was due, so that a
// slow system cannot hide by slowing its callers.
//
// A run is bounded in requests, in time and in requests open at once; an arrival
// above that last bound is counted as Dropped and not sent.
//
// Bench compares the same load sent directly to an engine and through an entry.
//
// Size: an open request holds about 20 KB here; histograms take 40 KB each, three
// for an organisation.
package load
