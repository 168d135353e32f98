// Package galenastair holds the ids, units, errors and ports that every other
// package shares. Ports are the interfaces behind which behaviour varies; their
// implementations live in the packages below this one, named after the peer or
// protocol that they speak to.
package galenastair
