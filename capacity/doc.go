// Package capacity measures what control costs a node: bytes a second, processor
// time and memory, on fleets of separate processes of several sizes, and works
// out the slopes by which docs/CAPACITY.md reckons the target's size.
//
// Bytes are counted by the relays that stand between the processes of a fleet
// (see galenastair/proof): what a node sends and receives to and from peers, the
// platform and, without traffic of callers, engines. Processor time and memory
// are read from /proc.
package capacity
