// Package proof injects faults into a running fleet of separate processes and
// checks afterwards that the invariants of the system held. It starts no process:
// a script does, and restarts each process that has exited, as the platform would.
// The driver sends signals to processes by the ids that the script writes to
// files, cuts and silences connections in relays between the processes, switches
// outages of the platform stand-in on and off, acts as callers and operators, and
// records what each of them observed.
//
// The schedule of faults is derived from a seed, so that a run can be repeated.
// Checks read only the recorded history, so that they can be tested on histories
// with known violations.
package proof
