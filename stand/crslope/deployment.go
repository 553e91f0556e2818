package crslope

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"connectrpc.com/connect"

	"crocusrack/io/crclient"
	"crocusrack/io/crtransport"
	"crocusrack/schema/crcaller"
	"crocusrack/schema/crcaller/crcallerconnect"
	pb "crocusrack/schema/crcatalogue"
	"crocusrack/schema/crstand"
	"crocusrack/stand/crdeployment"
	"crocusrack/stand/crengine"
	"crocusrack/stand/crloopback"
	"crocusrack/stand/crworkload"
)

const (
	fleetDomains  = 4
	fleetServices = 4
	fleetAccounts = 16
	// chatsPerSecond is each daemon's part of the light load.
	chatsPerSecond = 2
	restarts       = 4
	catalogueTurns = 4
	addressCalls   = 400
	joinTimeout    = 90 * time.Second
	joinPoll       = 50 * time.Millisecond
	tokenTime      = 10 * time.Millisecond
	prefillTime    = 20 * time.Microsecond
	cacheTokens    = 200_000
	requestedRate  = 1e6
)

// spans are how long a fleet is watched.
type spans struct {
	idle, load, empty time.Duration
	// settle ends the contested time after a change of owners.
	settle time.Duration
}

func spansFor(short bool) spans {
	if short {
		return spans{idle: time.Second, load: time.Second, empty: 500 * time.Millisecond, settle: 500 * time.Millisecond}
	}
	return spans{idle: 10 * time.Second, load: 10 * time.Second, empty: 5 * time.Second, settle: 6 * time.Second}
}

// fleet is a deployment of real daemons on loopback addresses in this process,
// without any delay between them.
type fleet struct {
	daemons, perDaemon int
	spans              spans

	deployment  *crdeployment.Deployment
	connections atomic.Int64
}

// observation is what is counted at one moment.
type observation struct {
	at            time.Time
	processor     time.Duration
	control       map[string]float64
	reads, writes float64
	// calls are those that the daemons have sent to the store.
	calls float64
}

func (f *fleet) run(ctx context.Context) (map[string]float64, error) {
	defer f.stop()
	joined, err := f.start(ctx)
	if err != nil {
		return nil, err
	}
	results := map[string]float64{"join-time": joined.Seconds()}
	steps := []func(context.Context, map[string]float64) error{
		f.watchIdle, f.watchLoad, f.timeAddresses, f.changeCatalogue, f.restart, f.outage, f.watchEmpty,
	}
	for _, step := range steps {
		if err := step(ctx, results); err != nil {
			return nil, err
		}
	}
	return results, nil
}

// reports returns the bytes per second and daemon of reports.
func (f *fleet) reports(ctx context.Context) (float64, error) {
	defer f.stop()
	if _, err := f.start(ctx); err != nil {
		return 0, err
	}
	before := f.observe()
	pause(ctx, f.spans.idle)
	return f.perSecond(before, f.observe())["report"], ctx.Err()
}

func (f *fleet) start(ctx context.Context) (time.Duration, error) {
	network := crdeployment.Loopback(&crloopback.Network{})
	dial := network.Dial
	network.Dial = func(from string) crtransport.DialFunc { return f.counting(dial(from)) }
	f.deployment = &crdeployment.Deployment{
		Catalogue: f.catalogue(),
		Network:   network,
		Engine: func(_ *pb.Endpoint, e *crengine.Engine) {
			e.TokenTime, e.PrefillTime, e.CacheTokens = tokenTime, prefillTime, cacheTokens
		},
	}
	for i := range f.daemons {
		domain := domainName(i % fleetDomains)
		f.deployment.Instances = append(f.deployment.Instances, crdeployment.Instance{Name: fmt.Sprintf("entry-%03d", i), FailureDomain: domain})
	}
	start := time.Now()
	if err := f.deployment.Start(ctx); err != nil {
		return 0, err
	}
	if err := f.join(ctx); err != nil {
		return 0, err
	}
	took := time.Since(start)
	pause(ctx, f.spans.settle)
	return took, ctx.Err()
}

func (f *fleet) stop() {
	if f.deployment != nil {
		f.deployment.Stop()
	}
}

// catalogue has a few services and failure domains and as many endpoints as
// the fleet needs.
func (f *fleet) catalogue() *pb.Catalogue {
	c := &pb.Catalogue{}
	for i := range fleetDomains {
		c.FailureDomains = append(c.FailureDomains, &pb.FailureDomain{Name: domainName(i), Region: "region-0"})
	}
	for i := range fleetServices {
		c.Services = append(c.Services, service(serviceName(i)))
	}
	for i := range f.daemons * f.perDaemon {
		c.Endpoints = append(c.Endpoints, &pb.Endpoint{
			Name: fmt.Sprintf("engine-%04d", i), Service: serviceName(i % fleetServices),
			FailureDomain: domainName(i / fleetServices % fleetDomains), Address: address(i).String(),
			Capacity: capacity, ColdCapacity: coldCapacity,
		})
	}
	for i := range fleetAccounts {
		c.ClientAccounts = append(c.ClientAccounts, &pb.ClientAccount{Name: accountName(i), Rate: requestedRate, Burst: requestedRate})
	}
	return c
}

// counting counts the connections that are open.
func (f *fleet) counting(dial crtransport.DialFunc) crtransport.DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		f.connections.Add(1)
		return &countedConn{Conn: conn, closed: func() { f.connections.Add(-1) }}, nil
	}
}

// countedConn tells once that it is closed.
type countedConn struct {
	net.Conn
	once   sync.Once
	closed func()
}

// Close closes the connection.
func (c *countedConn) Close() error {
	c.once.Do(c.closed)
	return c.Conn.Close()
}

func (f *fleet) join(ctx context.Context) error {
	deadline := time.Now().Add(joinTimeout)
	for !f.joined() {
		if time.Now().After(deadline) || ctx.Err() != nil {
			return errors.New("the daemons have not found each other")
		}
		pause(ctx, joinPoll)
	}
	return nil
}

func (f *fleet) joined() bool {
	for _, n := range f.deployment.Nodes() {
		if m := n.Metrics(); m == nil || m.Members == nil || int(m.Members()["alive"]) != f.daemons {
			return false
		}
	}
	return true
}

func (f *fleet) observe() observation {
	counters := f.deployment.Platform.Counters()
	o := observation{
		at: time.Now(), processor: processorTime(), control: make(map[string]float64),
		reads: float64(counters.Reads), writes: float64(counters.Writes),
	}
	for _, n := range f.deployment.Nodes() {
		if m := n.Metrics(); m != nil {
			o.calls += m.Calls()
			for kind, bytes := range m.ControlBytes() {
				o.control[kind] += bytes
			}
		}
	}
	return o
}

// perSecond returns the control bytes per second and daemon by kind.
func (f *fleet) perSecond(before, after observation) map[string]float64 {
	rates := make(map[string]float64)
	for kind, bytes := range after.control {
		rates[kind] = (bytes - before.control[kind]) / after.at.Sub(before.at).Seconds() / float64(f.daemons)
	}
	return rates
}

// control adds the control bytes of a span under a name, and those of each
// kind.
func (f *fleet) control(results map[string]float64, name string, before, after observation) {
	results[name] = 0
	for kind, rate := range f.perSecond(before, after) {
		results[name] += rate
		results[name+"-"+kind] = rate
	}
}

func (f *fleet) watchIdle(ctx context.Context, results map[string]float64) error {
	before := f.observe()
	pause(ctx, f.spans.idle)
	after := f.observe()
	f.control(results, "control-idle", before, after)
	seconds := after.at.Sub(before.at).Seconds()
	results["process-time-idle"] = corePercent(before, after)
	results["store-reads-idle"] = (after.reads - before.reads) / seconds
	results["store-writes-idle"] = (after.writes - before.writes) / seconds
	results["store-watches"] = float64(f.deployment.Platform.Counters().WaitingWatches)
	results["connections"] = float64(f.connections.Load()) / float64(f.daemons)
	results["heap"] = heap()
	results["goroutines"] = float64(runtime.NumGoroutine())
	return ctx.Err()
}

func (f *fleet) watchLoad(ctx context.Context, results map[string]float64) error {
	if f.daemons > loadedDaemons {
		return nil
	}
	clients := f.clients()
	before := f.observe()
	requests := f.load(ctx, clients)
	after := f.observe()
	f.control(results, "control-loaded", before, after)
	results["connections-loaded"] = float64(f.connections.Load()) / float64(f.daemons)
	if requests == 0 {
		return errors.New("no request was answered")
	}
	seconds := after.at.Sub(before.at).Seconds()
	idle := time.Duration(results["process-time-idle"] / 100 * seconds * float64(time.Second))
	results["request-process-time"] = max(float64(after.processor-before.processor-idle), 0) / float64(requests)
	return ctx.Err()
}

// load sends chats to every service and returns the count of those answered.
func (f *fleet) load(ctx context.Context, clients map[string]*crclient.Client) int {
	var all sync.WaitGroup
	var answered atomic.Int64
	for i := range fleetServices {
		spec := crworkload.Spec{
			Seed: uint64(i + 1), Duration: f.spans.load, Service: serviceName(i),
			TurnsPerSecond: chatsPerSecond * float64(f.daemons) / fleetServices, Returning: 0.8,
		}
		for k := range fleetAccounts {
			spec.Accounts = append(spec.Accounts, crworkload.Account{Name: accountName(k), Weight: 1})
		}
		w := &crworkload.Runner{Trace: crworkload.New(spec), Client: func(a string) *crclient.Client { return clients[a] }}
		all.Go(func() { answered.Add(int64(w.Run(ctx).Answered)) })
	}
	all.Wait()
	return int(answered.Load())
}

func (f *fleet) clients() map[string]*crclient.Client {
	clients := make(map[string]*crclient.Client)
	seeds := f.deployment.CallerAddresses()
	for i := range fleetAccounts {
		name := accountName(i)
		first := i % len(seeds)
		clients[name] = &crclient.Client{
			Seeds:   append(seeds[first:len(seeds):len(seeds)], seeds[:first]...),
			HTTP:    f.deployment.HTTPClient("caller-"+name, domainName(0)),
			Scheme:  "http",
			Account: name,
		}
	}
	return clients
}

func (f *fleet) timeAddresses(ctx context.Context, results map[string]float64) error {
	client := f.addressClient()
	start := time.Now()
	for i := range addressCalls {
		answer, err := client.Address(ctx, connect.NewRequest(&crcaller.AddressRequest{
			Service: serviceName(0), ClientAccount: accountName(0), ChatKey: fmt.Sprint("slope-", i),
		}))
		if err != nil {
			return fmt.Errorf("address: %w", err)
		}
		if len(answer.Msg.Addresses) == 0 {
			return fmt.Errorf("no address: %v", answer.Msg.Refusal)
		}
	}
	results["address-answer-time"] = float64(time.Since(start)) / addressCalls
	return nil
}

func (f *fleet) addressClient() crcallerconnect.CallerServiceClient {
	var h *http.Client = f.deployment.HTTPClient("caller-address", domainName(0))
	return crcallerconnect.NewCallerServiceClient(h, "http://"+f.deployment.CallerAddresses()[0].String())
}

// changeCatalogue takes a failure domain out and back.
func (f *fleet) changeCatalogue(ctx context.Context, results map[string]float64) error {
	for i := range catalogueTurns {
		start := time.Now()
		version, err := f.deployment.SetOut(ctx, i%2 == 0, domainName(1))
		if err != nil {
			return err
		}
		if err := f.deployment.WaitVersion(ctx, version); err != nil {
			return err
		}
		results["catalogue-in-force-time"] = max(results["catalogue-in-force-time"], time.Since(start).Seconds())
		pause(ctx, time.Second)
	}
	return ctx.Err()
}

// restart kills some daemons and starts them again.
func (f *fleet) restart(ctx context.Context, results map[string]float64) error {
	nodes := f.deployment.Nodes()[f.daemons-restarts/2-1:]
	nodes = nodes[:min(len(nodes), restarts)]
	for _, n := range nodes {
		n.Kill()
	}
	before := f.observe()
	for _, n := range nodes {
		n.Start()
	}
	if err := f.join(ctx); err != nil {
		return err
	}
	after := f.observe()
	seconds := after.at.Sub(before.at).Seconds()
	results["restart-join-time"] = seconds
	results["store-reads-restart"] = max(after.reads-before.reads-results["store-reads-idle"]*seconds, 0) / float64(len(nodes))
	return ctx.Err()
}

// outage takes the store away.
func (f *fleet) outage(ctx context.Context, results map[string]float64) error {
	f.deployment.Platform.SetFaults(&crstand.Faults{Outage: true})
	defer f.deployment.Platform.SetFaults(&crstand.Faults{})
	before := f.observe()
	pause(ctx, f.spans.idle)
	after := f.observe()
	results["store-calls-outage"] = (after.calls - before.calls) / after.at.Sub(before.at).Seconds()
	return ctx.Err()
}

// watchEmpty kills all daemons, and takes what is left off what was seen.
func (f *fleet) watchEmpty(ctx context.Context, results map[string]float64) error {
	for _, n := range f.deployment.Nodes() {
		n.Kill()
	}
	pause(ctx, time.Second)
	before := f.observe()
	pause(ctx, f.spans.empty)
	after := f.observe()
	n := float64(f.daemons)
	results["process-time-idle"] = max(results["process-time-idle"]-corePercent(before, after), 0) / n
	results["heap"] = (results["heap"] - heap()) / n
	results["goroutines"] = (results["goroutines"] - float64(runtime.NumGoroutine())) / n
	return ctx.Err()
}

// corePercent returns the processor time of the process between two moments.
func corePercent(before, after observation) float64 {
	return 100 * float64(after.processor-before.processor) / float64(after.at.Sub(before.at))
}

// processorTime returns that of this process since its start.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
