// Package crpeer keeps the gRPC connections between instances. Control traffic and
// requests use separate connections, so that their bytes can be counted separately and
// a burst of answer tokens doesn't delay a probe of a member. Control traffic includes the
// load sums of services, which package crload describes.
//
// When a connection breaks, the calls on it fail and later calls reconnect. Sent records
// whether the peer may have received a failed call.
package crpeer

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/stats"

	"crocusrack/io/crtransport"
	"crocusrack/schema/crpeer"
)

const (
	// connectionIdleTimeout is how long a connection without calls stays open.
	connectionIdleTimeout = time.Minute
	connectBaseDelay      = 100 * time.Millisecond
	connectMaxDelay       = 3 * time.Second
	keepaliveAfter        = 10 * time.Second
	keepaliveTimeout      = 4 * time.Second
	// controlWindow and serverWindow are flow-control windows in bytes. With fixed
	// windows, gRPC doesn't send the pings by which it estimates the bandwidth.
	controlWindow = 256 << 10
	serverWindow  = 1 << 20
)

// Traffic is the kind of traffic that a connection carries.
type Traffic uint8

const (
	// Control carries membership, load sums, the catalogue and quotas.
	Control Traffic = iota
	// Requests carries chats and calls.
	Requests
)

// Pool holds the connections to other instances, at most one for each address and kind of
// Traffic. Set the exported fields before use. It is safe for concurrent use.
type Pool struct {
	// Dial returns the function that opens connections of a kind.
	Dial func(Traffic) crtransport.DialFunc
	// Stats, if set, handles the statistics of all connections and calls.
	Stats stats.Handler
	// Credentials holds the TLS credentials. Nil means plain text.
	Credentials credentials.TransportCredentials

	mu     sync.Mutex
	conns  map[connKey]*grpc.ClientConn
	closed bool
}

// ErrClosed is returned by Pool.Client after Pool.Close.
var ErrClosed = errors.New("the pool of connections is closed")

// connKey identifies a connection of a Pool.
type connKey struct {
	address netip.AddrPort
	kind    Traffic
}

// Client returns a client of the instance at an address. The client connects when it is
// first used, and again after a failure. Client returns ErrClosed if the pool is closed.
func (p *Pool) Client(at netip.AddrPort, k Traffic) (crpeer.PeerServiceClient, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, ErrClosed
	}
	t := connKey{at, k}
	if conn, ok := p.conns[t]; ok {
		return crpeer.NewPeerServiceClient(conn), nil
	}
	conn, err := p.connect(t)
	if err != nil {
		return nil, err
	}
	if p.conns == nil {
		p.conns = make(map[connKey]*grpc.ClientConn)
	}
	p.conns[t] = conn
	return crpeer.NewPeerServiceClient(conn), nil
}

// Retain closes and removes the connections to addresses for which keep returns false.
func (p *Pool) Retain(keep func(netip.AddrPort) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for t, conn := range p.conns {
		if !keep(t.address) {
			conn.Close()
			delete(p.conns, t)
		}
	}
}

// Close closes all connections. The pool opens no new ones afterwards.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.Retain(func(netip.AddrPort) bool { return false })
}

func (p *Pool) connect(t connKey) (*grpc.ClientConn, error) {
	transport := p.Credentials
	if transport == nil {
		transport = insecure.NewCredentials()
	}
	dial := p.Dial(t.kind)
	options := []grpc.DialOption{
		grpc.WithTransportCredentials(transport),
		grpc.WithContextDialer(func(ctx context.Context, address string) (net.Conn, error) {
			return dial(ctx, "tcp", address)
		}),
		grpc.WithIdleTimeout(connectionIdleTimeout),
		grpc.WithDisableServiceConfig(),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff: backoff.Config{BaseDelay: connectBaseDelay, Multiplier: 1.6, Jitter: 0.2, MaxDelay: connectMaxDelay},
		}),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: keepaliveAfter, Timeout: keepaliveTimeout}),
		grpc.WithStatsHandler(sentTracker{}),
	}
	if t.kind == Control {
		options = append(options, grpc.WithStaticStreamWindowSize(controlWindow), grpc.WithStaticConnWindowSize(controlWindow))
	}
	if p.Stats != nil {
		options = append(options, grpc.WithStatsHandler(p.Stats))
	}
	return grpc.NewClient("passthrough:///"+t.address.String(), options...)
}

// ServerOptions returns the options of the gRPC server that listens for peers. A nil
// config means plain text.
func ServerOptions(config *tls.Config) []grpc.ServerOption {
	options := []grpc.ServerOption{
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: keepaliveAfter / 2, PermitWithoutStream: true}),
		grpc.StaticStreamWindowSize(serverWindow),
		grpc.StaticConnWindowSize(serverWindow),
	}
	if config != nil {
		options = append(options, grpc.Creds(credentials.NewTLS(config)))
	}
	return options
}

// Sent records whether a call was written. A peer can't have run a call whose Wrote is
// false. Make the call with the context that Trace returns.
type Sent struct{ wrote atomic.Bool }

// sentKey is the context key of a *Sent.
type sentKey struct{}

// Trace returns a context whose call sets s once its headers are written.
func (s *Sent) Trace(ctx context.Context) context.Context {
	return context.WithValue(ctx, sentKey{}, s)
}

// Wrote reports whether a part of the call may have reached the other side.
func (s *Sent) Wrote() bool { return s.wrote.Load() }

// sentTracker is a stats.Handler that sets the Sent of a call when its headers are
// written.
type sentTracker struct{}

func (sentTracker) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }

func (sentTracker) HandleRPC(ctx context.Context, e stats.RPCStats) {
	if _, ok := e.(*stats.OutHeader); !ok {
		return
	}
	if s, ok := ctx.Value(sentKey{}).(*Sent); ok {
		s.wrote.Store(true)
	}
}

func (sentTracker) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

func (sentTracker) HandleConn(context.Context, stats.ConnStats) {}
