package crcommand

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"time"

	"crocusrack/io/crtransport"
	"crocusrack/schema/crstand"
	"crocusrack/schema/crstand/crstandconnect"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/encoding/protojson"
)

const (
	faultsSummary = "replace the faults in force in a running stand-in"
	faultsExample = "crocusstand faults -stand 127.0.0.1:7201 -turn-cold -delay 50ms"

	countersSummary = "print the counters of a running stand-in as JSON"
	countersExample = "crocusstand counters -stand 127.0.0.1:7201"

	askTimeout = 5 * time.Second
)

// standFlag declares the address of the stand-in to ask.
func standFlag(flags *flag.FlagSet) *netip.AddrPort {
	address := new(netip.AddrPort)
	flags.TextVar(address, "stand", netip.AddrPort{}, "IP address and port of the stand-in")
	return address
}

// ask calls a stand-in's fault service.
func ask(ctx context.Context, stand netip.AddrPort, call func(context.Context, crstandconnect.FaultServiceClient) error) error {
	if !stand.IsValid() {
		return fmt.Errorf("the flag -stand is missing")
	}
	client := crtransport.Client(crtransport.NetDial, nil)
	defer client.CloseIdleConnections()
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	return call(ctx, faultClient(client, stand))
}

func faultClient(client *http.Client, stand netip.AddrPort) crstandconnect.FaultServiceClient {
	return crstandconnect.NewFaultServiceClient(client, "http://"+stand.String())
}

func setupFaults(flags *flag.FlagSet) Run {
	faults := new(crstand.Faults)
	stand := standFlag(flags)
	delay := delayFlag(flags)
	flags.BoolVar(&faults.Outage, "outage", false, "platform: fail every call")
	flags.BoolVar(&faults.LoseWriteAnswers, "lose-write-answers", false, "platform: let writes take effect and lose their answers")
	flags.BoolVar(&faults.TurnCold, "turn-cold", false, "engine: become cold now and lose the cache")
	flags.BoolVar(&faults.DropCacheEvents, "drop-cache-events", false, "engine: drop all cache events")
	flags.BoolVar(&faults.Leaving, "leaving", false, "engine, service: refuse all new work")
	flags.BoolVar(&faults.LoseAnswers, "lose-answers", false, "service: run calls and lose their answers")
	return func(ctx context.Context, out io.Writer) error {
		request := &crstand.SetFaultsRequest{Faults: withDelay(faults, *delay)}
		return ask(ctx, *stand, func(ctx context.Context, c crstandconnect.FaultServiceClient) error {
			if _, err := c.SetFaults(ctx, connect.NewRequest(request)); err != nil {
				return fmt.Errorf("set faults: %w", err)
			}
			fmt.Fprintf(out, "faults: set at %s\n", stand)
			return nil
		})
	}
}

func setupCounters(flags *flag.FlagSet) Run {
	stand := standFlag(flags)
	return func(ctx context.Context, out io.Writer) error {
		return ask(ctx, *stand, func(ctx context.Context, c crstandconnect.FaultServiceClient) error {
			response, err := c.Counters(ctx, connect.NewRequest(&crstand.CountersRequest{}))
			if err != nil {
				return fmt.Errorf("counters: %w", err)
			}
			fmt.Fprintln(out, protojson.Format(response.Msg))
			return nil
		})
	}
}
