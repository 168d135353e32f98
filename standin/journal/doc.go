// Package journal records what a fake backend server ran: one JSON line for each run,
// written before the run takes effect. The record is a file, so that a proof can read
// what ran on a server process that was killed.
package journal
