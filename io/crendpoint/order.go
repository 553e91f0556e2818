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

// Orders sends orders to model engines, each over a connection of its own. It
// is closed with the call, so that an order isn't delivered after its context
// has ended. Set the field before use.
type Orders struct {
	// Dial opens connections that discard what they hold when they are closed,
	// as those of crtransport.DiscardUnsent do.
	Dial crtransport.DialFunc
}

var errConnectionLost = errors.New("the connection of the order was lost")

// Order passes an order on. After an error the order may have taken effect.
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

// only returns a dialer that hands out one connection, once.
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
