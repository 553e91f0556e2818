package crcommand

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"time"

	"crocusrack/io/crtransport"
	"crocusrack/schema/crstand"

	"google.golang.org/protobuf/types/known/durationpb"
)

// shutdownTimeout is how long the calls in flight may take to end.
const shutdownTimeout = 5 * time.Second

// listenFlag declares the address that a stand-in listens on.
func listenFlag(flags *flag.FlagSet, port uint16) *netip.AddrPort {
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), port)
	flags.TextVar(&address, "listen", address, "IP address and port to listen on; port 0 takes a free one")
	return &address
}

// serve serves the handler until ctx ends, then lets the calls in flight end.
func serve(ctx context.Context, out io.Writer, name string, address netip.AddrPort, handler http.Handler) error {
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	fmt.Fprintf(out, "%s: listening on %s\n", name, listener.Addr())
	server := crtransport.Server(handler)
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	select {
	case err := <-served:
		return fmt.Errorf("serve: %w", err)
	case <-ctx.Done():
	}
	shutdown, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
	defer cancel()
	err = server.Shutdown(shutdown)
	if errors.Is(err, context.DeadlineExceeded) {
		// Watches never end by themselves.
		err = server.Close()
	}
	<-served
	return err
}

// delayFlag declares the fault that all stand-ins know.
func delayFlag(flags *flag.FlagSet) *time.Duration {
	return flags.Duration("delay", 0, "fault: time added to every call")
}

func withDelay(faults *crstand.Faults, delay time.Duration) *crstand.Faults {
	faults.Delay = durationpb.New(delay)
	return faults
}
