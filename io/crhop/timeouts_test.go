package crhop

import (
	"net"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// TestSystemEndsConnectionsLast guards against connections that the system ends before they are reset:
// what they hold can't be withdrawn then. It also checks that the system tells of the send queue.
func TestSystemEndsConnectionsLast(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	c, err := (&Client{}).dial(t.Context(), l.Addr().(*net.TCPAddr).AddrPort())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	raw, err := c.(syscall.Conn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	option := func(level, name int) time.Duration {
		var n int
		if controlErr := raw.Control(func(fd uintptr) { n, err = unix.GetsockoptInt(int(fd), level, name) }); controlErr != nil || err != nil {
			t.Fatal(controlErr, err)
		}
		return time.Duration(n)
	}
	latest := unacknowledgedTimeout + unacknowledgedInterval
	if got := option(unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT) * time.Millisecond; got <= latest {
		t.Errorf("the system ends a connection that acknowledges nothing after %s, and it is reset after %s", got, latest)
	}
	idle, interval := option(unix.IPPROTO_TCP, unix.TCP_KEEPIDLE)*time.Second, option(unix.IPPROTO_TCP, unix.TCP_KEEPINTVL)*time.Second
	if got := idle + interval; got <= latest {
		t.Errorf("the system ends an idle connection after %s, and one that acknowledges nothing is reset after %s", got, latest)
	}
	if _, ok := sendQueue(c); !ok {
		t.Error("the system doesn't tell of the send queue")
	}
}
