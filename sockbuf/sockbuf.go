package sockbuf

import (
	"errors"
	"runtime"
	"syscall"
)

// notSentLowAt is the number of the socket option TCP_NOTSENT_LOWAT on Linux.
const notSentLowAt = 0x19

// Control returns a function for net.Dialer.Control and net.ListenConfig.Control that sets the send and
// receive buffers of a socket to n bytes, and has writes wait while n/2 bytes have not been sent. It has
// to run before the connection is made: the receive window that was once announced is not taken back.
// Accepted connections inherit the sizes of their listener.
func Control(n int) func(network, address string, c syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error {
		var err error
		controlErr := c.Control(func(fd uintptr) {
			err = errors.Join(
				syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF, n),
				syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, n))
			if runtime.GOOS == "linux" {
				err = errors.Join(err, syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, notSentLowAt, n/2))
			}
		})
		return errors.Join(controlErr, err)
	}
}
