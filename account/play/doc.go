// Package play simulates instances, owners of organisations' accounts and a leader with one clock
// and without sockets. Instances are partitioned, killed and restarted, and leaders are replaced.
// Only one organisation is simulated, because organisations do not affect each other.
//
// It does not simulate a network: a charge takes no time, and a message either arrives or does
// not.
package play
