// Package request serves one caller's request from admission to response. It
// checks the API key, the instance's lease and the contract, takes the claim and
// the charge, waits for dispatch and forwards the response of a backend server.
// It also decides which failures are retried and which outcome is reported with
// an error. It opens no sockets: callers, backend servers and other instances
// are reached through interfaces.
package request
