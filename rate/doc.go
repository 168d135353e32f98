// Package rate keeps every organisation within its contract's rate and burst over
// all instances together.
package rate
