// Package planner decides which models and adapters each model engine holds, following demand. It
// is active only while this instance holds the lease. Every instance reports its demand and its
// in-flight load; the planner runs a few rounds per second and sends each engine its orders one at
// a time. place.Planner decides which models to load and unload, and this package which adapters.
//
// The models loaded on an engine are read from its registration, and orders whose effect the
// registration cannot show yet are added. Where the two disagree, memory and adapter slots are
// accounted at the larger value. An order carries the number of orders that its engine has
// accepted so far, so of two orders with the same number only one can take effect, however late it
// arrives.
//
// Memory: about 2 KB per engine. Network: one exchange per instance, of a few hundred bytes, a few
// times per second; one call per order, and one state query for each order whose outcome is
// unknown.
package planner
