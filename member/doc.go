// Package member knows which instances of a region belong together, which of
// them leads, and which of them serves a duty, without a coordination service:
// changes of membership are records of the platform's log, liveness is a ring
// of watchers that promise not to declare each other lapsed.
package member
