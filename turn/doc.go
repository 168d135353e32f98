// Package turn decides which one instance plans and lends. The platform's store gives
// partition 0 of a group's topic to one member; this package adds what the store does
// not give: a lease that ends before the store can have passed the partition on
// unnoticed, a pause between two holders, and a fence that grows with each term.
//
// A term begins with a record appended to a topic of its own, whose offset is the
// fence: offsets only grow, and no two records share one. Messages: one join each
// second for each instance (a tenth of a call), one append for each term.
package turn
