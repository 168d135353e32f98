// Package ledger accounts for the accelerator memory of each backend server, so
// that no order can overcommit it. It folds the order records of the control
// stream and the engines' reports; it opens no socket and starts no goroutine.
//
// An order is pending from its record on, until a later record of a leader settles
// it. What is loaded by the last report and what pending orders may still load is
// counted together, each weight once and at the larger memory said of it. A leader
// settles an order only when no copy of it can arrive any more:
//   - the engine has answered the one time that it was sent, or refused it, or the
//     order was never sent;
//   - it is a former leader's, the engine checks fencing numbers, and a report
//     shows a newer one: what has not arrived by then is refused;
//   - Life has passed since it was superseded or sent without an answer.
//
// Orders to an engine that checks fences need no record. A leader first raises the
// fence there by an order that changes nothing; a report that shows it shows all that
// former leaders' orders have done and will ever do. From then on the leader counts its
// own orders in its memory, until a report shows their effect or a higher fence. So
// such engines can be given orders while the log is down.
//
// Life bounds a pause of the process that recorded the order: between the check of
// its lease and the send it can be stopped for any time, and nothing tells an
// engine that ignores fencing numbers that the order is old. Ten minutes are
// longer than the pauses of machines that come back at all (migration, swapping,
// a stopped container); the cost is the memory of the two or three loads that were
// in flight when a leader died. A longer pause is not covered on such engines.
//
// Size: an order record is about 350 bytes and its settlement 200; at one load a
// second that is 550 bytes/s at most, and nothing when nothing moves. A pending
// order takes about 400 bytes of memory, a backend server 200 and its weights.
package ledger
