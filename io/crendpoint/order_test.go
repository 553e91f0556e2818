package crendpoint

import (
	"context"
	"io"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"crocusrack/io/crtransport"
	"crocusrack/schema/crendpoint"
	"crocusrack/stand/crnet"
)

// TestLateOrder has an order held up on its way until its deadline has passed:
// none of it reaches the endpoint when the way is open again.
func TestLateOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := &crnet.Network{Delay: func(string, string) time.Duration { return time.Second }}
		at := netip.MustParseAddrPort("127.1.0.2:7100")
		network.AddHost("holder", "a", netip.MustParseAddr("127.1.0.1"))
		network.AddHost("engine", "a", at.Addr())
		l, err := network.Listen(at)
		if err != nil {
			t.Fatal(err)
		}
		got := make(chan int, 1)
		go func() {
			conn, err := l.Accept()
			if err != nil {
				t.Error(err)
				return
			}
			defer conn.Close()
			data, _ := io.ReadAll(conn) // ends with a reset
			got <- len(data)
		}()
		// The connection is up after two seconds, and the order there after three.
		time.AfterFunc(2500*time.Millisecond, func() { network.Pause("holder") })
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		orders := Orders{Dial: crtransport.DiscardUnsent(network.Dial("holder"))}
		if _, err := orders.Order(ctx, at, &crendpoint.OrderRequest{}); err == nil {
			t.Error("an order that is held up is answered")
		}
		network.Resume("holder")
		if n := <-got; n != 0 {
			t.Errorf("%d bytes of an order arrived after its deadline", n)
		}
	})
}
