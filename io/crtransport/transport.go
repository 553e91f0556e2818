// Package crtransport creates the HTTP clients and servers that the other io packages
// share: HTTP/2 with and without TLS, over any dialer. It also records whether a failed
// request was written, which decides whether its outcome is "not run" or "unknown".
package crtransport

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"
)

const (
	dialTimeout = 2 * time.Second
	idleTimeout = 90 * time.Second
	// pingAfter is how long a connection may be silent before it is pinged.
	pingAfter         = 5 * time.Second
	pingTimeout       = 5 * time.Second
	readHeaderTimeout = 10 * time.Second
)

// DialFunc opens a connection. It has the signature of net.Dialer.DialContext.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// NetDial opens a connection over the host's network. It fails after two seconds.
func NetDial(ctx context.Context, network, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	return d.DialContext(ctx, network, address)
}

// DiscardUnsent returns a DialFunc whose connections discard unsent data when they are
// closed. Otherwise the data would be delivered once a broken network link works again,
// long after the caller has given up. Dialing fails if dial returns a connection without
// SetLinger.
func DiscardUnsent(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		l, ok := conn.(interface{ SetLinger(seconds int) error })
		if !ok {
			conn.Close()
			return nil, errNoLinger
		}
		if err := l.SetLinger(0); err != nil {
			conn.Close()
			return nil, err
		}
		return conn, nil
	}
}

var errNoLinger = errors.New("the connection can't discard unsent data: it has no SetLinger")

// withDialTimeout returns a DialFunc that fails after dialTimeout. Without it, a dial could
// last long after the request that needs the connection has ended, because net/http
// dials in the background.
func withDialTimeout(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, dialTimeout)
		defer cancel()
		return dial(ctx, network, address)
	}
}

// Client returns an HTTP/2 client that uses dial. A nil config means plain text. The
// client pings silent connections, so that the streams of a peer that no longer answers
// fail after about ten seconds.
func Client(dial DialFunc, config *tls.Config) *http.Client {
	protocols := new(http.Protocols)
	if config == nil {
		protocols.SetUnencryptedHTTP2(true)
	} else {
		protocols.SetHTTP2(true)
	}
	return &http.Client{Transport: &http.Transport{
		DialContext:     withDialTimeout(dial),
		TLSClientConfig: config,
		Protocols:       protocols,
		IdleConnTimeout: idleTimeout,
		HTTP2: &http.HTTP2Config{
			SendPingTimeout: pingAfter,
			PingTimeout:     pingTimeout,
		},
	}}
}

// Server returns an HTTP server for HTTP/1 and HTTP/2, with and without TLS.
func Server(h http.Handler) *http.Server {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler:           h,
		Protocols:         protocols,
		ReadHeaderTimeout: readHeaderTimeout,
		HTTP2: &http.HTTP2Config{
			SendPingTimeout:      pingAfter,
			PingTimeout:          pingTimeout,
			MaxConcurrentStreams: 10_000,
		},
	}
}

// Scheme returns the URL scheme for a TLS configuration: "http" if it is nil.
func Scheme(config *tls.Config) string {
	if config == nil {
		return "http"
	}
	return "https"
}

// Sent records whether an HTTP request was written. Send the request with the context
// that Trace returns.
type Sent struct{ wrote atomic.Bool }

// Trace returns a context that makes the HTTP request sent with it record in s that its
// headers were written.
func (s *Sent) Trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		WroteHeaders: func() { s.wrote.Store(true) },
	})
}

// Wrote reports whether the headers of the request were written, so that the other side
// may have received and run it. If it returns false, the body wasn't sent either, so the
// other side can't have run the request.
func (s *Sent) Wrote() bool { return s.wrote.Load() }
