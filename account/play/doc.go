// Package play plays instances, owners of organisations' accounts and a leader over one clock,
// without sockets, with instances that are cut off, killed and started again, and leaders that
// are replaced. One organisation is played, as organisations do not bear on each other.
//
// It is no simulator of a network: a charge takes no time, and messages arrive or do not.
package play
