package crcommand

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net/netip"
	"strings"

	"crocusrack/schema/crplatform"
	"crocusrack/schema/crstand"
	"crocusrack/stand/crobjectstore"
)

const (
	platformSummary = "serve a stand-in for the platform's object API and list of instances"
	platformExample = "crocusstand platform -listen 127.0.0.1:7001 -instance entry-1,noord-a,127.0.0.1:7101"
	platformPort    = 7001
)

func setupPlatform(flags *flag.FlagSet) Run {
	s := new(crobjectstore.Server)
	faults := new(crstand.Faults)
	listen := listenFlag(flags, platformPort)
	flags.IntVar(&s.ReadsPerSecond, "reads-per-second", crobjectstore.DefaultReadsPerSecond, "reads that are served")
	flags.IntVar(&s.WritesPerSecond, "writes-per-second", crobjectstore.DefaultWritesPerSecond, "writes that are served")
	flags.DurationVar(&s.InstanceLag, "instance-lag", 0, "age of the list of instances")
	var instances []*crplatform.Instance
	flags.Func("instance", "`name,failure-domain,peer-address` of an instance to list; may be repeated", func(text string) error {
		instance, err := parseInstance(text)
		instances = append(instances, instance)
		return err
	})
	delay := delayFlag(flags)
	flags.BoolVar(&faults.Outage, "outage", false, "fault: fail every call")
	flags.BoolVar(&faults.LoseWriteAnswers, "lose-write-answers", false, "fault: let writes take effect and lose their answers")
	return func(ctx context.Context, out io.Writer) error {
		for _, in := range instances {
			s.AddInstance(in)
		}
		s.SetFaults(withDelay(faults, *delay))
		return serve(ctx, out, "platform", *listen, s.Handler())
	}
}

// instanceParts is the number of parts of an instance flag.
const instanceParts = 3

func parseInstance(text string) (*crplatform.Instance, error) {
	parts := strings.Split(text, ",")
	if len(parts) != instanceParts {
		return nil, fmt.Errorf("want name,failure-domain,peer-address")
	}
	address, err := netip.ParseAddrPort(parts[2])
	if err != nil {
		return nil, fmt.Errorf("peer address: %w", err)
	}
	return &crplatform.Instance{
		Name:          parts[0],
		FailureDomain: parts[1],
		PeerAddress:   address.String(),
	}, nil
}
