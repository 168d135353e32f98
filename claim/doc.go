// Package claim sees to it that a request that may not be repeated is sent at most
// once by all instances together.
package claim
