// Package dispatch decides when a request may go and to which backend server:
// it joins the fair queue and the router. Core is the decision alone; Dispatcher
// wraps it in a short lock for the goroutines that carry traffic.
package dispatch
