package crrouter

import (
	"encoding/json"
	"net"
	"net/http"
	"time"

	"golang.org/x/sys/unix"

	"crocusrack/core/crconnection"
	"crocusrack/io/crforward"
	"crocusrack/io/crlistener"
)

const (
	// maxHeaderBytesOfServer is above all limits of header sections: the listener of callers
	// enforces the limit in force.
	maxHeaderBytesOfServer = 1 << 26
	// defaultDescriptors applies when the system doesn't tell how many it grants.
	defaultDescriptors = 1024
)

// directoryShare is the part of the bound on callers' connections that may be open at the
// directory.
const directoryShare = 8

// serveCallers prepares the server of callers, and returns the listener that it serves.
func (r *Router) serveCallers(server *http.Server, l net.Listener) net.Listener {
	server.ConnContext = crforward.ConnContext
	r.callers = r.boundListener(server, l, func(bound int) int {
		// A connection at the directory takes half as many descriptors as one of a request.
		return bound - bound/directoryShare/2
	})
	r.callers.Changed = r.changed
	r.front = server
	return r.callers
}

// serveDirectory does the same for the server that tells callers where to connect.
func (r *Router) serveDirectory(server *http.Server, l net.Listener) net.Listener {
	r.directory = r.boundListener(server, l, func(bound int) int { return bound / directoryShare })
	return r.directory
}

// boundListener returns the listener for a server that callers use. The listener ends connections
// past their time by the limits in force, so the server has none. Share returns how many
// connections may be open there, of those that all callers may open.
func (r *Router) boundListener(server *http.Server, l net.Listener, share func(bound int) int) *crlistener.Listener {
	bound := &crlistener.Listener{Listener: l, Budget: &r.budget, Log: r.Log, Limits: func() crlistener.Limits {
		limits := r.callerLimits()
		limits.Connections = share(limits.Connections)
		return limits
	}}
	server.ReadHeaderTimeout, server.IdleTimeout, server.MaxHeaderBytes = 0, 0, maxHeaderBytesOfServer
	bound.Attach(server)
	return bound
}

// callerLimits returns the limits in force for connections of callers.
func (r *Router) callerLimits() crlistener.Limits {
	l := crlistener.Limits{
		HeaderBytes: maxHeaderBytes, HeaderTime: readHeaderTimeout, IdleTime: idleTimeout,
		Connections: crconnection.Bound(r.descriptors()),
	}
	if t := r.state.Table(); t != nil {
		l.HeaderBytes = orDefault(t.Limits.HeaderBytes, l.HeaderBytes)
		l.HeaderTime = orDefault(t.Limits.HeaderTimeout, l.HeaderTime)
		l.IdleTime = orDefault(t.Limits.IdleTimeout, l.IdleTime)
	}
	return l
}

// orDefault returns the value of a limit, or the default if it isn't set.
func orDefault[T int64 | time.Duration](v, fallback T) T {
	if v == 0 {
		return fallback
	}
	return v
}

// descriptors returns how many descriptors the process may use. What the system grants may
// change while the process runs.
func (r *Router) descriptors() int {
	var granted unix.Rlimit
	if unix.Getrlimit(unix.RLIMIT_NOFILE, &granted) != nil {
		granted.Cur = defaultDescriptors
	}
	n := int(min(granted.Cur, 1<<20))
	if r.Settings.Descriptors > 0 {
		n = min(n, r.Settings.Descriptors)
	}
	return n
}

// connectionCounts returns how many connections of a listener are open, and how many were refused
// or closed, by reason.
func connectionCounts(l *crlistener.Listener) any {
	if l == nil {
		return nil
	}
	return map[string]any{"open": l.Open(), "busy": l.Busy(), "closed": json.RawMessage(l.Counters.Map().String())}
}
