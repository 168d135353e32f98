// Package replica stands in for the users' backend servers: it answers requests, plain
// or as a stream of events, takes orders to load and unload, reports its state and
// registers itself. Faults are switches. It checks what it is sent as the real ones do:
// the instance that is expected, the model, the memory.
package replica
