package httpconn

import (
	"net"
	"syscall"
)

// isReusable reports whether the peer has sent nothing on an idle connection. EOF or a
// reset means that the peer has closed it; any bytes would be read as the response to the
// next request.
func isReusable(conn net.Conn) bool {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		empty = err == syscall.EAGAIN || err == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && empty
}
