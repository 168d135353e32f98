// Package dispatch decides when a request is sent and to which backend server. It combines
// the fair queue of package queue with the router of package route. Scheduler makes the
// decisions and does no I/O; Dispatcher guards it with a mutex for the goroutines that
// serve requests.
//
// Memory: a waiting request takes about 600 bytes here, and its goroutine and body about
// 20 KB; at most 1,024 requests wait on an instance. A requested model takes about 300
// bytes, and each of at most 4,096 tracked organisations 80 bytes. At the target size of a
// region this is about 0.5 MB, besides the memory of the router.
//
// CPU: a request costs 2 to 3 microseconds, 0.02 % of a core at 51 requests/s per instance.
//
// Network: the demand of 250 models, sent to the leader every five seconds, is about 3 KB,
// or 600 bytes/s.
package dispatch
