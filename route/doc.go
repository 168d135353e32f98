// Package route chooses the backend server for a request among those with a
// ready copy of its model. It opens no socket and starts no goroutine.
package route
