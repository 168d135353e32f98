// Package platform is a fake of the platform for tests: its log, its instance list and
// its weight store, with fault injection. It implements the API that
// galenastair/logservice calls, and in addition:
//
//	GET, POST /switches   Faults; a POST changes only the fields in its body
//	POST      /loads      galenastair.ModelWeights; responds when the load has finished
//	GET       /loads      LoadStats
//
// All state is in memory. Time is the system clock.
package platform
