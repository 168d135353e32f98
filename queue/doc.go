// Package queue holds the requests of one model that wait for a backend server, and decides which
// goes next. It is fair by organisation, weighted by contract rate, and refuses early the requests
// that cannot be served in time. It opens no sockets and starts no goroutines.
//
// Size: a waiting item takes about 150 bytes and a remembered organisation about 120. Both are
// bounded, to MaxWaiting items and as many idle organisations again: about 140 KB for a model
// under full load, and nothing when idle.
package queue
