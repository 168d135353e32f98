// Package planner keeps models and adapters on the model engines where callers ask for
// them, while this instance holds the lease. It hears from all instances what is asked
// and what waits, plans a few times a second, and gives orders one at a time to each
// engine.
//
// What is loaded where is read from the engines' registrations; orders add to it what
// may have happened since. Memory and adapter places are counted at the larger of
// what may be there. An order names the count of orders that its engine has accepted,
// so of two orders that presume the same count only one can act, however late.
//
// State: about 2 KB an engine. Messages: each instance's exchange, a few hundred bytes
// a few times a second; one call for each order, and one report where its outcome is
// not known.
package planner
