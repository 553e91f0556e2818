package crlistener

import (
	"expvar"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
)

// logInterval is the shortest time between two log lines with the same reason.
const logInterval = 5 * time.Second

// reason is why a connection was refused or closed.
type reason int

const (
	noConnections reason = iota
	noMemory
	acceptFailed
	closedIdle
	closedUnfinished
	endedForMemory
	headerTooSlow
	headerTooLarge
	emptyLines
	malformed
	reasons
	// timeout is only a refusal: that of a connection on which a request might arrive late.
	timeout
)

// String returns the name of the reason in metrics and logs.
func (r reason) String() string {
	return [...]string{
		"no-connections", "no-memory", "accept-failed", "closed-idle", "closed-unfinished", "ended-for-memory",
		"header-too-slow", "header-too-large", "empty-lines",
		"malformed",
	}[r]
}

// Counters counts connections that were refused or closed, by reason. Its zero value is ready to
// use; it is safe for concurrent use.
type Counters struct {
	counts [reasons]atomic.Int64

	mu sync.Mutex
	// logged is when a line was last logged, and told the count then.
	logged [reasons]time.Time
	told   [reasons]int64
}

// Count returns how many connections were refused or closed for the reason with a name.
func (c *Counters) Count(name string) int64 {
	for r := range reasons {
		if r.String() == name {
			return c.counts[r].Load()
		}
	}
	return 0
}

// Map returns the counts as an expvar value.
func (c *Counters) Map() *expvar.Map {
	m := &expvar.Map{}
	for r := range reasons {
		m.Set(r.String(), expvar.Func(func() any { return c.counts[r].Load() }))
	}
	return m
}

// record counts a connection and logs some of them with the caller's address.
func (c *Counters) record(log *zap.Logger, now time.Time, r reason, address netip.Addr) {
	count := c.counts[r].Add(1)
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.logged[r].IsZero() && now.Sub(c.logged[r]) < logInterval {
		return
	}
	since := count - c.told[r]
	c.logged[r], c.told[r] = now, count
	log.Warn("listener: a connection was refused or closed", zap.Stringer("reason", r), zap.Stringer("caller", address),
		zap.Int64("since-last-line", since))
}

// retryAfter is the time in seconds after which a refused caller may come back. By then the next
// sweep has closed connections.
const retryAfter = "0.400"

// refusal returns the response to a connection whose request hasn't run and won't. It is empty
// where a connection is closed without one.
func refusal(r reason) string {
	switch r {
	case emptyLines:
		return ""
	case timeout:
		return lastResponse(statusLine(http.StatusRequestTimeout), "", "connection-closed")
	case headerTooLarge:
		return lastResponse(statusLine(http.StatusRequestHeaderFieldsTooLarge), "", r.String())
	}
	return lastResponse(statusLine(http.StatusServiceUnavailable), "Retry-After: "+retryAfter+"\r\n", r.String())
}

func statusLine(status int) string {
	return "HTTP/1.1 " + strconv.Itoa(status) + " " + http.StatusText(status)
}

// lastResponse returns the last response on a connection, whose body is a line of text. The lines
// of its header are ended by CRLF.
func lastResponse(statusLine, header, body string) string {
	return statusLine + "\r\n" + header + "Content-Type: text/plain; charset=utf-8\r\nConnection: close\r\nContent-Length: " +
		strconv.Itoa(len(body)+1) + "\r\n\r\n" + body + "\n"
}
