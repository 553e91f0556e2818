package crctl

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"crocusrack/io/crtransport"
	pb "crocusrack/schema/croperator"
)

const (
	// aliveState is the state of an instance that must have a new version.
	aliveState = "alive"
	// pollInterval is the time between two looks at the fleet.
	pollInterval = 250 * time.Millisecond
	// defaultWait is the longest wait for a version to be in force.
	defaultWait = 30 * time.Second
)

// json writes a message, indented.
func (p *Program) json(m proto.Message) error {
	data, err := protojson.Marshal(m)
	if err != nil {
		return fmt.Errorf("write JSON: %w", err)
	}
	// protojson varies its spaces on purpose; this makes them steady.
	return p.jsonValue(json.RawMessage(data))
}

func (p *Program) jsonValue(value any) error {
	data, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return fmt.Errorf("write JSON: %w", err)
	}
	_, err = fmt.Fprintf(p.Stdout, "%s\n", data)
	return err
}

func setupOut(p *Program, f *flag.FlagSet) action { return setupMark(p, f, true) }

func setupIn(p *Program, f *flag.FlagSet) action { return setupMark(p, f, false) }

// names is a flag that takes names with commas between them and may be given
// more than once.
type names []string

func (n *names) String() string { return strings.Join(*n, ",") }

func (n *names) Set(text string) error {
	*n = append(*n, strings.Split(text, ",")...)
	return nil
}

func setupMark(p *Program, f *flag.FlagSet, out bool) action {
	var domains, instances, endpoints names
	f.Var(&domains, "failure-domain", "`names` of failure domains, with commas between them")
	f.Var(&instances, "instance", "`names` of instances, with commas between them")
	f.Var(&endpoints, "endpoint", "`names` of endpoints, with commas between them")
	asJSON := f.Bool("json", false, "write JSON")
	waiting := addWait(f)
	return func(ctx context.Context, _ []string) error {
		if len(domains)+len(instances)+len(endpoints) == 0 {
			return failf(Usage, "name a failure domain, instance or endpoint")
		}
		response, err := p.setOut(ctx, &pb.SetOutRequest{
			FailureDomains: domains, Instances: instances, Endpoints: endpoints, Out: out, Author: p.author,
		})
		if err != nil {
			return err
		}
		if *asJSON {
			err = p.json(response)
		} else {
			fmt.Fprintf(p.Stdout, "version %d\n", response.GetVersion())
		}
		if err != nil {
			return err
		}
		return waiting.until(ctx, p, response.GetVersion())
	}
}

func (p *Program) setOut(ctx context.Context, request *pb.SetOutRequest) (*pb.SetOutResponse, error) {
	client, err := p.connection.operators()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, p.timeout)
	defer cancel()
	var sent crtransport.Sent
	response, err := client.SetOut(sent.Trace(ctx), connect.NewRequest(request))
	if err != nil {
		return nil, writeError(err, &sent)
	}
	return response.Msg, nil
}

// wait holds the flags for waiting until a version is in force everywhere.
type wait struct {
	wanted  bool
	timeout time.Duration
}

func addWait(f *flag.FlagSet) *wait {
	w := &wait{}
	f.BoolVar(&w.wanted, "wait", false, "wait until the change is in force at all alive instances")
	f.DurationVar(&w.timeout, "wait-timeout", defaultWait, "longest wait")
	return w
}

// until polls the fleet until all alive instances have the version. Failed
// polls are tried again until the timeout.
func (w *wait) until(ctx context.Context, p *Program, version uint64) error {
	if !w.wanted {
		return nil
	}
	limit, cancel := context.WithTimeout(ctx, w.timeout)
	defer cancel()
	progress, said := "", ""
	for {
		status, err := p.status(limit)
		if err == nil {
			lagging, alive := without(status, version)
			if alive > 0 && len(lagging) == 0 {
				fmt.Fprintf(p.Stderr, "version %d is in force at all %d alive instances\n", version, alive)
				return nil
			}
			progress = fmt.Sprintf("version %d is in force at %d of %d alive instances, not yet at: %s",
				version, alive-len(lagging), alive, strings.Join(lagging, ", "))
		} else if limit.Err() == nil {
			progress = err.Error()
		}
		if progress != said {
			fmt.Fprintln(p.Stderr, progress)
			said = progress
		}
		select {
		case <-limit.Done():
			return failf(NotEverywhere, "gave up waiting: %s", progress)
		case <-time.After(pollInterval):
		}
	}
}

// without returns the alive instances that lack the version, and the number of
// all alive ones.
func without(status *pb.StatusResponse, version uint64) (lagging []string, alive int) {
	for _, s := range status.GetInstances() {
		if s.GetState() != aliveState {
			continue
		}
		alive++
		if s.GetCatalogueVersion() < version {
			lagging = append(lagging, s.GetName())
		}
	}
	slices.Sort(lagging)
	return lagging, alive
}

func (p *Program) status(ctx context.Context) (*pb.StatusResponse, error) {
	client, err := p.connection.operators()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, p.timeout)
	defer cancel()
	response, err := client.Status(ctx, connect.NewRequest(&pb.StatusRequest{}))
	if err != nil {
		return nil, readError(err)
	}
	return response.Msg, nil
}

func setupStatus(p *Program, f *flag.FlagSet) action {
	asJSON := f.Bool("json", false, "write JSON")
	return func(ctx context.Context, _ []string) error {
		status, err := p.status(ctx)
		if err != nil {
			return err
		}
		if *asJSON {
			return p.json(status)
		}
		return p.fleet(status)
	}
}

func (p *Program) fleet(status *pb.StatusResponse) error {
	fmt.Fprintf(p.Stdout, "version %d\n\n", status.GetVersion())
	w := tabwriter.NewWriter(p.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "INSTANCE\tFAILURE DOMAIN\tSTATE\tVERSION\tHEARD\tOPERATOR")
	for _, s := range status.GetInstances() {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\t%s\n",
			s.GetName(), s.GetFailureDomain(), s.GetState(), s.GetCatalogueVersion(), heard(s), s.GetOperatorAddress())
	}
	fmt.Fprintln(w, "\nSERVICE\tUSABLE\tENDPOINTS\tIN FLIGHT\tCAPACITY")
	for _, s := range status.GetServices() {
		fmt.Fprintf(w, "%s\t%d\t%d\t%.0f\t%.0f\n",
			s.GetName(), s.GetUsable(), s.GetEndpoints(), s.GetInFlight(), s.GetCapacity())
	}
	return w.Flush()
}

// heard returns how long ago the instance was heard of, if that is told.
func heard(s *pb.InstanceStatus) string {
	if s.GetHeardAgo() == nil {
		return "-"
	}
	return s.GetHeardAgo().AsDuration().Round(100*time.Millisecond).String() + " ago"
}

func setupDump(p *Program, _ *flag.FlagSet) action {
	return func(ctx context.Context, _ []string) error {
		client, err := p.connection.operators()
		if err != nil {
			return err
		}
		ctx, cancel := context.WithTimeout(ctx, p.timeout)
		defer cancel()
		response, err := client.Dump(ctx, connect.NewRequest(&pb.DumpRequest{}))
		if err != nil {
			return readError(err)
		}
		return p.jsonValue(json.RawMessage(response.Msg.GetJson()))
	}
}
