// Package membudget accounts the bytes that an instance holds for callers and backend servers, and
// bounds them.
//
// It answers callers that read answers or send bodies slowly, and backend servers that read bodies
// late. Without a bound, an instance that buffers for them exceeds its memory, and garbage collection
// delays the requests of all others.
//
// Each request has an account, an Exchange, from its arrival to its end. What it holds beyond a fixed
// part is bounded by a share of the memory that is still free, as buffers of switches are: a single
// large piece fits while the budget is mostly free, and small ones still fit while large ones are
// refused. Buffers get smaller as the budget fills. If it is nearly full, an exchange is ended
// whose peer has taken or sent nothing for some time.
//
// A nil Budget has no bound, and a nil Exchange accounts nothing.
package membudget
