// Package report distributes the status reports of engines to all instances of a
// region. Each engine is polled by one instance, its poller, which sends the changes
// to the other instances.
//
// Tracker decides which engines to poll, which updates to send, to whom and when; it
// does no I/O. Reporter polls and sends. An instance that receives no update of an
// engine for a while polls the engine itself, rarely and few engines at a time, so that
// after the failure of a poller or a relay the reports get older but don't stop. An
// engine may have two pollers at a time without harm, so that pollers need no lease.
//
// Up to ten instances form a full mesh. More instances are arranged in a grid: a poller
// sends its updates to its row, and each instance relays the updates of its row to its
// column. At 53 instances a round then takes 13 messages instead of 52.
//
// Cost with 53 instances and 270 engines in a region, simulated with the encoded sizes
// of the messages (TestTrafficBudgetAndPropagation): an instance sends and receives
// 1.9 KB/s, in 13 messages each way per round of 7 s, and polls its 5 or 6 engines at
// 1.4 KB/s. The median age of a report is 11.5 s, the maximum 29.5 s; all instances
// know of a loaded or unloaded model after 8 s. With 9 instances and 9 engines these
// are 2.3 KB/s in total, 2.5 s, 4.5 s and 1 s. While three instances hang but are still
// members, others poll the engines that these poll or relay, and the reports are up to
// 2 minutes old; normally the membership of a hung instance ends within seconds, and
// another instance becomes the poller. An update takes about 22 bytes, an unchanged
// engine 4, and each loaded model about 60 more in the rounds after a change of state;
// a message takes about 400 bytes with headers. An engine takes about 1 KB of memory
// in an instance, 270 KB in total.
package report
