// Package ledger accounts for the accelerator memory of each backend server, so
// that no order can overcommit it. It applies the order records of the control
// stream and the engines' reports. It opens no socket and starts no goroutine.
//
// An order is pending from the time its record is read until a leader's later record
// settles it. The memory of a backend server is the union of what its last report
// lists as loaded and what pending orders may still load; each weight counts once, at
// the larger of its stated sizes. A leader settles an order only when no copy of it
// can reach the engine any more:
//   - the engine has answered the single send or refused it, or the order was never
//     sent;
//   - the order comes from a former leader, the engine checks fencing tokens, and a
//     report shows a higher one, so the engine rejects what has not arrived yet;
//   - the order lifetime has passed since the order was superseded, or since it was
//     sent without an answer.
//
// Orders to an engine that checks fences need no record. A new leader first raises the
// engine's highest fence by an order that changes nothing. A report that shows this
// fence also shows all effects that orders of former leaders will ever have. From then
// on the leader tracks its own orders in process memory until a report shows their
// effect or a higher fence. Such engines can therefore be given orders while the log is
// unavailable.
//
// The order lifetime bounds how long the process that recorded an order may be paused.
// It can be paused between checking its lease and sending the order, and an engine that
// ignores fencing tokens cannot tell that the order is old. The default of ten minutes
// exceeds the pauses of machines that resume at all (live migration, swapping, a
// stopped container). It costs the memory of the two or three loads that were in flight
// when a leader died. Longer pauses are not covered on such engines.
//
// Size: an order record takes about 350 bytes and its settlement 200, so at one load
// per second the log grows by at most 550 bytes/s, and not at all while nothing is
// loaded. A pending order takes about 400 bytes of memory, a backend server 200 bytes
// plus its weights.
package ledger
