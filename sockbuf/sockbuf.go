// Package sockbuf sets the sizes of the kernel's buffers of sockets.
package sockbuf

import (
	"errors"
	"syscall"
)

// Control returns a function for net.Dialer.Control and net.ListenConfig.Control that sets the send and
// receive buffers of a socket to n bytes. It has to run before the connection is made: the receive window
// that was once announced is not taken back. Accepted connections inherit the sizes of their listener.
func Control(n int) func(network, address string, c syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error {
		var err error
		controlErr := c.Control(func(fd uintptr) {
			err = errors.Join(
				syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF, n),
				syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, n))
		})
		return errors.Join(controlErr, err)
	}
}
