package transport

import (
	"errors"
	"net"
	"os"
	"syscall"
	"time"
)

// closedByPeer reports whether the peer has closed an idle connection: there is data or the end of
// the stream to be read. A request on such a connection would be lost, and the caller could not know
// whether it was executed.
func closedByPeer(conn net.Conn) bool {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return readable(conn)
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return true
	}
	closed := false
	err = raw.Read(func(descriptor uintptr) bool {
		var buffer [1]byte
		_, _, err := syscall.Recvfrom(int(descriptor), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		closed = err != syscall.EAGAIN
		return true
	})
	return closed || err != nil
}

// readable reports the same as closedByPeer for a connection that is not a socket, by a read that
// does not block.
func readable(conn net.Conn) bool {
	if err := conn.SetReadDeadline(time.Now()); err != nil {
		return true
	}
	_, err := conn.Read(make([]byte, 1))
	return !errors.Is(err, os.ErrDeadlineExceeded)
}
