package crmetric

import (
	"context"
	"net"

	"google.golang.org/grpc/stats"

	pb "crocusrack/schema/crpeer"
)

// Counter counts control traffic by kind. It is a grpc stats handler, which
// counts messages of the peer interface, and it counts whole connections, such
// as those to the store, with Conn. The bytes of a peer connection that are
// not in messages are of the kind framing, so that the sum over all kinds is
// what went over the wire.
type Counter struct {
	Set *Set
	// Listener is set on the server's side.
	Listener *Listener
}

// PeerConn returns a connection to a peer that carries control traffic only.
func (c Counter) PeerConn(conn net.Conn) net.Conn { return c.Conn(conn, framing) }

// Conn returns the connection with its bytes counted under the kind.
func (c Counter) Conn(conn net.Conn, kind string) net.Conn {
	return counted{Conn: conn, set: c.Set, kind: kind}
}

// CrossDomainConn returns a connection to another failure domain, with the bytes
// of its requests and answers counted.
func (c Counter) CrossDomainConn(conn net.Conn) net.Conn { return crossing{Conn: conn, set: c.Set} }

type crossing struct {
	net.Conn
	set *Set
}

func (c crossing) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.set.CrossDomainBytes.Add(int64(n))
	return n, err
}

func (c crossing) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.set.CrossDomainBytes.Add(int64(n))
	return n, err
}

type counted struct {
	net.Conn
	set  *Set
	kind string
}

func (c counted) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.set.ControlBytesReceived.Add(c.kind, int64(n))
	return n, err
}

func (c counted) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.set.ControlBytesSent.Add(c.kind, int64(n))
	return n, err
}

// controlKinds names the control traffic of the peer interface. The other
// methods carry requests of callers.
var controlKinds = map[string]string{
	pb.PeerService_Borrow_FullMethodName:        "quota",
	pb.PeerService_ExchangeLoads_FullMethodName: "loads",
	pb.PeerService_Gossip_FullMethodName:        "gossip",
	pb.PeerService_Members_FullMethodName:       "members",
	pb.PeerService_NoteCached_FullMethodName:    "cache-moves",
	pb.PeerService_Probe_FullMethodName:         "probe",
	pb.PeerService_PullCatalogue_FullMethodName: "catalogue",
	pb.PeerService_TakeOver_FullMethodName:      "take-over",
}

type kindKey struct{}

// TagRPC notes the kind of a call.
func (c Counter) TagRPC(ctx context.Context, info *stats.RPCTagInfo) context.Context {
	kind, ok := controlKinds[info.FullMethodName]
	if !ok {
		return ctx
	}
	markControl(ctx)
	return context.WithValue(ctx, kindKey{}, kind)
}

// HandleRPC counts the messages of control calls.
func (c Counter) HandleRPC(ctx context.Context, s stats.RPCStats) {
	kind, ok := ctx.Value(kindKey{}).(string)
	if !ok {
		return
	}
	switch p := s.(type) {
	case *stats.InPayload:
		c.Set.ControlBytesReceived.Add(kind, int64(p.WireLength))
		c.Set.ControlBytesReceived.Add(framing, -int64(p.WireLength))
	case *stats.OutPayload:
		c.Set.ControlBytesSent.Add(kind, int64(p.WireLength))
		c.Set.ControlBytesSent.Add(framing, -int64(p.WireLength))
	}
}

// TagConn finds the accepted connection on the server's side.
func (c Counter) TagConn(ctx context.Context, info *stats.ConnTagInfo) context.Context {
	if c.Listener == nil {
		return ctx
	}
	return c.Listener.tag(ctx, info)
}

// HandleConn does nothing: bytes are counted by call.
func (c Counter) HandleConn(context.Context, stats.ConnStats) {}
