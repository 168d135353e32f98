package httpconn

import (
	"net"
	"syscall"
)

// quiet says whether nothing has come on an idle connection. An end or a reset means
// that the peer closed it; bytes would be taken for the next request's answer.
func quiet(n net.Conn) bool {
	sc, ok := n.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	still := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		still = err == syscall.EAGAIN || err == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && still
}
