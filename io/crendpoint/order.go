package crendpoint

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"

	"connectrpc.com/connect"

	"crocusrack/io/crtransport"
	"crocusrack/schema/crendpoint"
	"crocusrack/schema/crendpoint/crendpointconnect"
)

// Orders sends orders to model engines. Each order has its own connection, which is closed at
// the end of the call, so that an order isn't delivered after its context has ended. Set the
// field before first use.
type Orders struct {
	// Dial opens connections that discard unsent data when they are closed, like those of
	// crtransport.DiscardUnsent.
	Dial crtransport.DialFunc
}

var errConnectionLost = errors.New("the connection of the order was lost")

// Order sends an order to an engine. If it returns an error, the order may have taken effect.
func (o *Orders) Order(ctx context.Context, at netip.AddrPort, r *crendpoint.OrderRequest) (*crendpoint.OrderResponse, error) {
	conn, err := o.Dial(ctx, "tcp", at.String())
	if err != nil {
		return nil, fmt.Errorf("order to %v: %w", at, err)
	}
	defer conn.Close()
	client := crtransport.Client(only(conn), nil)
	defer client.CloseIdleConnections()
	response, err := crendpointconnect.NewEngineServiceClient(client, "http://"+at.String()).Order(ctx, connect.NewRequest(r))
	if err != nil {
		return nil, fmt.Errorf("order to %v: %w", at, err)
	}
	return response.Msg, nil
}

// only returns a dial function that returns the given connection once, and fails from then
// on.
func only(conn net.Conn) crtransport.DialFunc {
	unused := make(chan net.Conn, 1)
	unused <- conn
	return func(context.Context, string, string) (net.Conn, error) {
		select {
		case c := <-unused:
			return c, nil
		default:
			return nil, errConnectionLost
		}
	}
}
