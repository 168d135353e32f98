// Package dispatch decides when a request may go and to which backend server:
// it joins the fair queue and the router. Core is the decision alone; Dispatcher
// wraps it in a short lock for the goroutines that carry traffic.
//
// Size: a waiting request takes about 600 bytes here and its goroutine and body some
// 20 KB, at most 1,024 of them on an entry; a model asked for about 300 bytes, an
// organisation remembered 80, at most 4,096. At a region of the target about 0.5 MB
// besides the router's. A request costs 2 to 3 microseconds of processor time; at 51
// requests/s an entry that is 0.02 % of a core. Demand of 250 models every five
// seconds is some 3 KB, 600 bytes/s, to the leader.
package dispatch
