// Package replica is a fake of the users' backend servers. It answers requests with a body
// or with an event stream, executes orders to load and unload models, reports its state,
// and provides the value of its registration. Faults can be injected. As a real server
// does, it checks the expected instance and the model of each request, and the capacity
// that an order needs.
package replica
