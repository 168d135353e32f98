// Package platform stands in for the platform in tests: its log, its list of
// instances and its weight store, with switches for what fails. The wire forms
// are those of galenastair/platform, and besides:
//
//	GET, POST /switches   Switches; a POST changes only the fields it names
//	POST      /loads      galenastair.Weight; answers when the load is done
//	GET       /loads      LoadCounts
//
// It keeps everything in memory and takes the machine's clock.
package platform
