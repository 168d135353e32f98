// Package proof drives a running fleet of separate processes through faults and
// checks afterwards what must always hold. It starts no process: a script does,
// and starts each anew that has died, as the platform would. The driver sends
// signals to processes by the ids that the script writes down, cuts and silences
// their connections by relays of its own, switches the platform's outages, plays
// callers and operators, and writes down what each of them saw.
//
// The order of faults comes from a seed and can be run again from it. Checks
// read the recorded history alone, so that they can be tested on planted faults.
package proof
