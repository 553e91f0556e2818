// Package crmeasure runs deployments under load and faults and measures what
// the users asked for: cache reuse, skew of load, control traffic and service
// while a failure domain leaves and returns, for the daemon's own policy and
// for plain ones, with the same trace of requests.
package crmeasure

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"crocusrack/core/crsettings"
	"crocusrack/io/crclient"
	"crocusrack/io/crendpoint"
	pb "crocusrack/schema/crcatalogue"
	endpointpb "crocusrack/schema/crendpoint"
	"crocusrack/stand/crdeployment"
	"crocusrack/stand/crengine"
	"crocusrack/stand/crloopback"
	"crocusrack/stand/crservice"
	"crocusrack/stand/crworkload"
)

// Times of the stand-ins and of the network.
const (
	TokenTime     = 20 * time.Millisecond
	PrefillTime   = 100 * time.Microsecond
	WorkTime      = 30 * time.Millisecond
	CacheTokens   = 200_000
	WarmAfter     = 12
	ReportLag     = 500 * time.Millisecond
	domainDelay   = 4 * time.Millisecond
	callerDelay   = 3 * time.Millisecond
	localDelay    = 150 * time.Microsecond
	delaySpread   = 0.25
	callersDomain = "callers"
	accountRoom   = 20
)

// Options tell what to run.
type Options struct {
	// Catalogue and Name are those of the deployment.
	Name      string
	Catalogue *pb.Catalogue
	Scenario  Scenario
	// Policy is one of crsettings' policies.
	Policy string
	// Daemons is the count of instances, spread over the failure domains.
	Daemons  int
	Duration time.Duration
	Seed     uint64
	// Network is loopback when it is the zero value.
	Network crdeployment.Network
	// Progress is told once a second; may be nil.
	Progress func(at time.Duration, answered, other int)
}

// Case is the result of one run.
type Case struct {
	Deployment string `json:"deployment"`
	Scenario   string `json:"scenario"`
	Policy     string `json:"policy"`
	Daemons    int    `json:"daemons"`
	Seed       uint64 `json:"seed"`
	Trace      string `json:"trace"`
	Requests   int    `json:"requests"`

	CacheReuse  float64 `json:"cache-reuse"`
	LoadSkew    float64 `json:"load-skew"`
	LoadSkewRaw float64 `json:"load-skew-raw"`
	// LoadSkewStarted is the load skew as far as starts over the set multiple made it.
	LoadSkewStarted float64            `json:"load-skew-started"`
	Control         float64            `json:"control-bytes-per-second"`
	ControlKind     map[string]float64 `json:"control-bytes-per-second-by-kind"`
	FirstToken      float64            `json:"first-token-p95-seconds"`
	Answered        int                `json:"answered"`
	NotRun          int                `json:"not-run"`
	Unknown         int                `json:"unknown"`
	Cut             int                `json:"cut"`
	Wrong           int                `json:"wrong"`
	Repeated        int                `json:"repeated"`
	FalseNotRun     int                `json:"false-not-run"`
	LateWork        float64            `json:"late-work-seconds"`
	InForce         float64            `json:"config-in-force-seconds"`
	Overloaded      int                `json:"overloaded-cold"`
	// OverBound counts the starts that took an engine over the set multiple of
	// the highest mean of the last second.
	OverBound int            `json:"over-bound"`
	Reasons   map[string]int `json:"reasons,omitempty"`
	// MeanInFlight is the mean of requests in flight per endpoint.
	MeanInFlight float64 `json:"mean-in-flight"`
	// Seconds is the skew of each second, for the plots.
	Seconds []Second `json:"seconds,omitempty"`
}

// run is one measurement in progress.
type run struct {
	options    Options
	deployment *crdeployment.Deployment
	clients    map[string]*crclient.Client
	sampler    *sampler
	starts     *starts
	inForce    float64
	lateWork   time.Duration
}

// Run runs one case.
func Run(ctx context.Context, o Options) (Case, error) {
	r := &run{options: o, starts: newStarts()}
	r.build()
	defer r.deployment.Stop()
	if err := r.deployment.Start(ctx); err != nil {
		return Case{}, err
	}
	r.makeClients()
	if err := r.settle(ctx); err != nil {
		return Case{}, err
	}
	trace := crworkload.New(r.spec())
	before := r.control()
	started := time.Now()
	sampling, stopSampling := context.WithCancel(ctx)
	var tasks sync.WaitGroup
	r.sampler = newSampler(r.deployment, modelService(o.Catalogue), started.Add(o.Duration))
	tasks.Go(func() { r.sampler.run(sampling) })
	runner := &crworkload.Runner{Trace: trace, Client: func(a string) *crclient.Client { return r.clients[a] }}
	tasks.Go(func() { r.progress(sampling, started, runner) })
	faults, stopFaults := context.WithCancel(ctx)
	tasks.Go(func() { o.Scenario.faults(faults, r) })
	result := runner.Run(ctx)
	elapsed := time.Since(started)
	stopSampling()
	stopFaults()
	tasks.Wait()
	return r.report(trace, result, before, elapsed), ctx.Err()
}

func (r *run) build() {
	network := r.options.Network
	if network.Listen == nil {
		network = crdeployment.Loopback(&crloopback.Network{Delay: delay})
	}
	r.options.Catalogue = generous(r.options.Catalogue)
	r.deployment = &crdeployment.Deployment{
		Catalogue: r.options.Catalogue,
		Network:   network,
		Instances: Instances(r.options.Catalogue, r.options.Daemons),
		Settings:  func(s *crsettings.Settings) { s.Policy = r.options.Policy },
		Engine: func(e *pb.Endpoint, engine *crengine.Engine) {
			engine.TokenTime = TokenTime
			engine.PrefillTime = PrefillTime
			engine.CacheTokens = CacheTokens
			engine.WarmAfter = WarmAfter
			engine.ReportLag = ReportLag
			engine.OnStart = r.starts.hook(e)
		},
		Service: func(e *pb.Endpoint, s *crservice.Service) {
			s.WorkTime = WorkTime
			s.ReportLag = ReportLag
			s.OnStart = r.starts.hook(e)
		},
	}
}

// generous returns the catalogue with limits of client accounts that the trace
// doesn't reach, so that policies are compared by what they do with the load.
func generous(c *pb.Catalogue) *pb.Catalogue {
	c = proto.Clone(c).(*pb.Catalogue)
	for _, a := range c.ClientAccounts {
		a.Rate *= accountRoom
		a.Burst *= accountRoom
		a.Concurrency *= accountRoom
	}
	return c
}

// Instances spreads daemons over the failure domains of a catalogue.
func Instances(c *pb.Catalogue, count int) []crdeployment.Instance {
	var list []crdeployment.Instance
	for i := range count {
		domain := c.FailureDomains[i%len(c.FailureDomains)].Name
		list = append(list, crdeployment.Instance{
			Name:          fmt.Sprintf("%s-%d", domain, 1+i/len(c.FailureDomains)),
			FailureDomain: domain,
		})
	}
	return list
}

// delay is the one-way delay at this moment: the users' figures, varying by a
// quarter.
func delay(from, to string) time.Duration {
	mean := domainDelay
	switch {
	case from == callersDomain || to == callersDomain:
		mean = callerDelay
	case from == to:
		mean = localDelay
	}
	return time.Duration(float64(mean) * (1 + delaySpread*(2*rand.Float64()-1)))
}

func (r *run) makeClients() {
	r.clients = make(map[string]*crclient.Client)
	seeds := r.deployment.CallerAddresses()
	for i, a := range r.options.Catalogue.ClientAccounts {
		r.clients[a.Name] = &crclient.Client{
			Seeds:   append(slices.Clone(seeds[i%len(seeds):]), seeds[:i%len(seeds)]...),
			HTTP:    r.deployment.HTTPClient("caller-"+a.Name, callersDomain),
			Scheme:  "http",
			Account: a.Name,
		}
	}
}

// settle waits until every daemon knows every other, then warms the engines as
// a running deployment's are.
func (r *run) settle(ctx context.Context) error {
	deadline := time.Now().Add(20 * time.Second)
	for !r.joined() {
		if time.Now().After(deadline) || ctx.Err() != nil {
			return fmt.Errorf("the daemons have not found each other")
		}
		time.Sleep(50 * time.Millisecond)
	}
	time.Sleep(contestedTime)
	return r.warm(ctx)
}

// contestedTime is how long new owners admit half.
const contestedTime = 4500 * time.Millisecond

func (r *run) joined() bool {
	for _, n := range r.deployment.Nodes() {
		if m := n.Metrics(); m == nil || int(m.Members()["alive"]) != len(r.deployment.Nodes()) {
			return false
		}
	}
	return true
}

// warm makes every engine warm by itself, so that no policy starts with engines
// that have fallen over, and then lets the fleet learn that they are.
func (r *run) warm(ctx context.Context) error {
	client := &crendpoint.Client{HTTP: r.deployment.HTTPClient("warmer", callersDomain), Scheme: "http"}
	var engines sync.WaitGroup
	for name := range r.deployment.Engines {
		engines.Go(func() { r.warmEngine(ctx, client, name) })
	}
	engines.Wait()
	spec := r.spec()
	spec.Seed += 1000
	spec.Broadcast = nil
	spec.Duration = r.options.Scenario.warm
	spec.CallService = ""
	runner := &crworkload.Runner{Trace: crworkload.New(spec), Client: func(a string) *crclient.Client { return r.clients[a] }}
	runner.Run(ctx)
	return ctx.Err()
}

func (r *run) warmEngine(ctx context.Context, client *crendpoint.Client, name string) {
	for i := range WarmAfter {
		client.Generate(ctx, r.deployment.EndpointAddress(name), &endpointpb.GenerateRequest{
			RequestId: fmt.Sprintf("warm-%s-%d", name, i),
			Model:     r.deployment.Engines[name].Model,
			Prompt:    fmt.Sprintf("warm %s %d", name, i),
			MaxTokens: 1,
		}, func(*endpointpb.GenerateResponse) error { return nil })
	}
}

func (r *run) spec() crworkload.Spec {
	c := r.options.Catalogue
	s := crworkload.Spec{
		Seed:           r.options.Seed,
		Duration:       r.options.Duration,
		Service:        modelService(c),
		CallService:    plainService(c),
		TurnsPerSecond: r.options.Scenario.turnsPerEndpoint * float64(endpointsOf(c, modelService(c))),
		CallsPerSecond: callsPerSecond,
		Returning:      0.8,
		NotRepeatable:  0.5,
	}
	for _, a := range c.ClientAccounts {
		account := crworkload.Account{Name: a.Name, Weight: a.Rate}
		if mayUse(a, s.Service) {
			s.Accounts = append(s.Accounts, account)
		}
		if mayUse(a, s.CallService) {
			s.CallAccounts = append(s.CallAccounts, account)
		}
	}
	if r.options.Scenario.broadcast != nil {
		s.Broadcast = r.options.Scenario.broadcast(s)
	}
	return s
}

const (
	callsPerSecond = 6
	// tokenPrefix begins the execution tokens among the request ids.
	tokenPrefix = "x1-"
)

func mayUse(a *pb.ClientAccount, service string) bool {
	return len(a.Services) == 0 || slices.Contains(a.Services, service)
}

func modelService(c *pb.Catalogue) string { return serviceOf(c, pb.ServiceKind_SERVICE_KIND_MODEL) }

func plainService(c *pb.Catalogue) string { return serviceOf(c, pb.ServiceKind_SERVICE_KIND_PLAIN) }

func serviceOf(c *pb.Catalogue, kind pb.ServiceKind) string {
	for _, s := range c.Services {
		if s.Kind == kind {
			return s.Name
		}
	}
	return ""
}

func endpointsOf(c *pb.Catalogue, service string) int {
	count := 0
	for _, e := range c.Endpoints {
		if e.Service == service {
			count++
		}
	}
	return count
}

func (r *run) progress(ctx context.Context, started time.Time, runner *crworkload.Runner) {
	if r.options.Progress == nil {
		return
	}
	t := time.NewTicker(time.Second)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			answered, other := runner.Progress()
			r.options.Progress(time.Since(started), answered, other)
		}
	}
}

// control returns the control bytes of all daemons by kind.
func (r *run) control() map[string]float64 {
	sums := make(map[string]float64)
	for _, n := range r.deployment.Nodes() {
		m := n.Metrics()
		if m == nil {
			continue
		}
		for kind, bytes := range m.ControlBytes() {
			sums[kind] += bytes
		}
	}
	return sums
}

func (r *run) report(t *crworkload.Trace, result *crworkload.Result, before map[string]float64, elapsed time.Duration) Case {
	o := r.options
	c := Case{
		Deployment:  o.Name,
		Scenario:    o.Scenario.Name,
		Policy:      o.Policy,
		Daemons:     o.Daemons,
		Seed:        o.Seed,
		Trace:       fmt.Sprintf("%016x", t.Hash()),
		Requests:    result.Requests(),
		CacheReuse:  result.Reuse(),
		FirstToken:  result.Quantile(0.95).Seconds(),
		Answered:    result.Answered,
		NotRun:      result.NotRun,
		Unknown:     result.Unknown,
		Cut:         result.Cut,
		Wrong:       result.Wrong,
		FalseNotRun: r.starts.falseNotRun(result.NotRunIDs),
		LateWork:    r.lateWork.Seconds(),
		InForce:     r.inForce,
		Reasons:     result.Reasons,
		ControlKind: make(map[string]float64),
	}
	for kind, bytes := range r.control() {
		perSecond := (bytes - before[kind]) / elapsed.Seconds() / float64(o.Daemons)
		c.ControlKind[kind] = perSecond
		c.Control += perSecond
	}
	for _, e := range r.deployment.Engines {
		c.Overloaded += int(e.Counters().OverloadedCold)
	}
	for _, s := range r.deployment.Services {
		for id, n := range s.Counters().Executions {
			if strings.HasPrefix(id, tokenPrefix) {
				c.Repeated += int(n) - 1
			}
		}
	}
	r.sampler.report(&c)
	return c
}

// starts notes when requests begin at endpoints.
type starts struct {
	mu sync.Mutex
	// ids holds the requests that have begun anywhere.
	ids map[string]bool
	// last is the last beginning in each failure domain.
	last map[string]time.Time
}

func newStarts() *starts {
	return &starts{ids: make(map[string]bool), last: make(map[string]time.Time)}
}

func (s *starts) hook(e *pb.Endpoint) func(string) {
	return func(id string) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.ids[id] = true
		s.last[e.FailureDomain] = time.Now()
	}
}

func (s *starts) falseNotRun(ids []string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	count := 0
	for _, id := range ids {
		if s.ids[id] {
			count++
		}
	}
	return count
}

// late returns how long after a failure domain was taken out the last work
// began there.
func (s *starts) late(domain string, out time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if out.IsZero() {
		return 0
	}
	return max(s.last[domain].Sub(out), 0)
}

// Compare orders cases by deployment, scenario and policy.
func Compare(a, b Case) int {
	return cmp.Or(cmp.Compare(a.Deployment, b.Deployment), cmp.Compare(a.Scenario, b.Scenario), cmp.Compare(a.Policy, b.Policy))
}
