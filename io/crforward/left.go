package crforward

import (
	"context"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// tcpEstablished is the state of a TCP connection that neither end has closed.
const tcpEstablished = 1

// connKey is the key of the caller's connection in the context of a request.
type connKey struct{}

// ConnContext adds a caller's connection to the context of its requests. It is to be set as
// the ConnContext of the http.Server, so that requests of callers that have left before their
// requests were read aren't sent on.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// callerLeft reports whether the caller has disconnected. It asks the system, too, because
// net/http cancels the context of a request some time after it has called the handler, and
// never if more data arrived after the request.
func (x *exchange) callerLeft() bool {
	if x.incoming.Context().Err() != nil {
		return true
	}
	if !x.left.Load() {
		c, _ := x.incoming.Context().Value(connKey{}).(syscall.Conn)
		x.left.Store(c != nil && closedByPeer(c))
	}
	return x.left.Load()
}

// closedByPeer reports whether the other end of a TCP connection has closed it.
func closedByPeer(c syscall.Conn) bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	var info *unix.TCPInfo
	// Control, unlike Read, doesn't wait for a pending read.
	controlErr := raw.Control(func(fd uintptr) { info, err = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) })
	return controlErr == nil && err == nil && info.State != tcpEstablished
}
