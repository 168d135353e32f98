// Package queue holds the requests of one model that wait for a backend server
// and decides which goes next: fair by organisation, weighted by contract rate,
// and refused early when it cannot be served in time. It opens no socket and
// starts no goroutine.
//
// Size: a waiting item takes about 150 bytes and a remembered organisation about
// 120; both are bounded, at most MaxWaiting items and as many idle organisations
// again, so about 140 KB for a model under full load and nothing when idle.
package queue
