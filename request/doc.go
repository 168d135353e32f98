// Package request carries one caller's request through the system: key, lease,
// permission, charge, claim, dispatch, backend server, answer. It decides what
// may be tried again and which outcome a failure is told with. It opens no
// socket itself: callers, backend servers and other instances stand behind
// interfaces.
package request
