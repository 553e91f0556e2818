// Package crrouter joins the parts of a daemon that forwards HTTP requests: the
// listeners, the reports to other instances, the watch of the store, and the
// orderly stop.
//
// Run fails when a listener can't be opened. All that fails later is logged or
// becomes the outcome of a request, and the daemon goes on.
package crrouter

import (
	"context"
	"errors"
	"expvar"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"crocusrack/core/crbackoff"
	"crocusrack/core/crgrant"
	"crocusrack/core/crledger"
	"crocusrack/core/crliveness"
	"crocusrack/core/crmemory"
	"crocusrack/core/crquarantine"
	"crocusrack/core/crrollout"
	"crocusrack/core/crsettings"
	"crocusrack/core/crversion"
	"crocusrack/io/crforward"
	"crocusrack/io/crhop"
	"crocusrack/io/crlink"
	"crocusrack/io/crlistener"
	"crocusrack/io/crwatch"
)

const (
	// keyAgeShare is the part of the time for the revocation of keys in which
	// knowledge of them may grow old. A request is checked after it was sent, so
	// the rest is only for clocks that run at different rates.
	keyAgeShare = 0.95
	// readHeaderTimeout bounds the wait for a request's header, unless the routing has a limit
	// for callers.
	readHeaderTimeout = 5 * time.Second
	// idleTimeout is when an idle connection is closed, unless the routing has a limit for
	// callers. Callers give theirs up earlier.
	idleTimeout = 2 * time.Minute
	// maxHeaderBytes bounds a request's header, unless the routing has a limit for callers.
	maxHeaderBytes = 64 << 10
	// prunePause is how often idle connections to endpoints are looked at.
	prunePause = time.Second
	// peerDialTimeout bounds the dial of a peer or the store.
	peerDialTimeout = 500 * time.Millisecond
	// startPatience is how long an instance that starts, and isn't a seed itself,
	// waits for others to tell it what the store says; it is longer by up to
	// patienceSpread at random, as many may start at once without a seed.
	startPatience  = 1500 * time.Millisecond
	patienceSpread = 1500 * time.Millisecond
	// stopMargin is how long before the end by force the process stops itself.
	stopMargin = 300 * time.Millisecond
)

// Router is one daemon. Set the exported fields before Run.
type Router struct {
	Settings crsettings.Router
	Log      *zap.Logger
	// RunNumber is random and tells this run of the process from others.
	RunNumber uint64
	// Elapsed reads a clock that counts suspension.
	Elapsed func() time.Duration
	// Codec translates headers.
	Codec crforward.Codec
	// Watcher has its feeds set; the router sets the rest.
	Watcher *crwatch.Watcher
	// Ready and Directory make the handlers of those listeners.
	Ready     func(ready func() bool) http.Handler
	Directory func(fronts func(domain string) []netip.AddrPort, lifetime time.Duration) http.Handler
	Metrics   crforward.Metrics
	// LinesDropped returns how many lines of the log were dropped.
	LinesDropped func() int64

	state *crgrant.State
	// budget bounds what callers and endpoints make the process hold.
	budget    crmemory.Budget
	forwarder *crforward.Forwarder
	front     *http.Server
	// callers has the connections of front, and directory those of the directory's address.
	callers, directory *crlistener.Listener
	hop                *crhop.Client
	link               *crlink.Link
	peers              *http.Client
	closing            atomic.Bool
	// stopAt is when the process ends; nil before it turns away what lasts longer.
	stopAt   atomic.Pointer[time.Time]
	leaving  atomic.Bool
	stop     chan struct{}
	stopOnce sync.Once
	initOnce sync.Once
}

// Stop ends Run in order: callers are sent elsewhere, and requests end.
func (r *Router) Stop() {
	r.init()
	r.stopOnce.Do(func() { close(r.stop) })
}

// init makes what a signal that comes before Run needs.
func (r *Router) init() {
	r.initOnce.Do(func() {
		r.stop = make(chan struct{})
		r.link = &crlink.Link{}
		r.link.SetSeeds(r.Settings.Seeds)
	})
}

// Run serves until Stop has been carried out or the context ends.
func (r *Router) Run(ctx context.Context) error {
	r.init()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if err := r.build(); err != nil {
		return err
	}
	defer r.peers.CloseIdleConnections()
	var tasks sync.WaitGroup
	servers, err := r.serve(&tasks)
	if err != nil {
		return err
	}
	r.Log.Info("daemon: started", zap.String("instance", r.Settings.Instance),
		zap.String("failure-domain", r.Settings.FailureDomain), zap.Uint64("run", r.RunNumber))
	tasks.Go(func() { r.link.Run(ctx) })
	tasks.Go(func() { r.Watcher.Run(ctx) })
	tasks.Go(func() { r.housekeep(ctx) })
	select {
	case <-ctx.Done():
	case <-r.stop:
		stopCtx, stopCancel := context.WithDeadline(ctx, r.leave(ctx))
		if r.front != nil {
			stopServing(stopCtx, r.front, r.callers.Busy)
		}
		stopCancel()
	}
	cancel()
	for _, s := range servers {
		s.Close()
	}
	tasks.Wait()
	r.hop.CloseIdle()
	r.Log.Info("daemon: stopped", zap.String("instance", r.Settings.Instance))
	return nil
}

func (r *Router) build() error {
	s := r.Settings
	r.state = &crgrant.State{
		Self: crliveness.Instance{
			Name: s.Instance, FailureDomain: s.FailureDomain, Front: s.Front, Peer: s.Peer,
			Millicores: uint32(s.CPUShare * 1000),
		},
		Run:          r.RunNumber,
		Retries:      crgrant.RetryLimit{Share: s.RetryShare, ExtraPerWindow: s.RetrySlack, Window: s.RetryWindow},
		Elapsed:      r.Elapsed,
		Disabled:     s.Disabled,
		Rollouts:     crrollout.Limits{Share: s.RolloutShare, Slack: s.RolloutSlack},
		OnRollout:    r.logRollout,
		OnQuarantine: r.logQuarantines,
		OnShortage:   r.logShortage,
		OnRamp:       r.logRamp,
		OnUrgent:     func() { r.link.ReportNow() },
		OnStreams:    func() { r.link.TellStreams() },
	}
	r.hop = &crhop.Client{OnConnect: func() { r.Metrics.Connections.Add(1) }, MaxHeaderBytes: s.AnswerHeadBytes}
	r.forwarder = &crforward.Forwarder{
		State:     r.state,
		Client:    r.hop,
		Codec:     r.Codec,
		Log:       r.Log,
		Metrics:   &r.Metrics,
		MaxKeyAge: time.Duration(keyAgeShare * float64(s.KeyRevocation)),
		Closing:   r.closing.Load,
		StopAt: func() time.Time {
			if at := r.stopAt.Load(); at != nil {
				return *at
			}
			return time.Time{}
		},

		Memory:        crforward.Memory{Limit: s.AnswerMemoryBytes},
		Budget:        &r.budget,
		MaxEventBytes: s.AnswerEventBytes,
		MaxEventDelay: s.EventDelay,
		Disabled:      s.Disabled,
		FindStream:    r.findStream,
		ReadVersions:  r.Watcher.ReadVersions,
	}
	r.limitMemory()
	packets, err := net.ListenPacket("udp4", s.Peer.String())
	if err != nil {
		return fmt.Errorf("peer datagrams: %w", err)
	}
	r.peers = Client()
	r.link.State, r.link.Conn, r.link.HTTP, r.link.Log = r.state, packets, r.peers, r.Log
	r.link.Adopted = r.adopted
	r.Watcher.State = r.state
	r.Watcher.Log = r.Log
	r.Watcher.Changed = r.changed
	if len(s.Seeds) > 0 && !slices.Contains(s.Seeds, s.Peer) {
		r.Watcher.Patience = startPatience + time.Duration(rand.Int64N(int64(patienceSpread)))
	}
	return nil
}

// findStream finds out which version of a service began the stream that the caller's attempt with the
// given id got, from other instances or from the store. It returns zero if neither knows.
func (r *Router) findStream(ctx context.Context, service, id string) crversion.Version {
	if v := r.link.FindStream(ctx, service, id); v != 0 {
		return v
	}
	r.Watcher.FindStreams(ctx)
	v, _ := r.state.StreamVersion(time.Now(), service, id)
	return v
}

// logRollout logs what this instance found about a roll-out.
func (r *Router) logRollout(e crrollout.Event) {
	r.Log.Info("rollout: "+e.What, zap.String("service", e.Service), zap.String("target", e.Target), zap.String("why", e.Why),
		zap.Duration("age-ms", e.Age), zap.Float64("evidence", e.Evidence), zap.Float64("answers-of-target", e.Trial))
}

// logQuarantines logs the quarantined parts of prompts.
func (r *Router) logQuarantines(list []crquarantine.Quarantine) {
	r.Log.Warn("quarantine: the parts of prompts that are kept from endpoints changed", zap.Any("quarantines", list))
}

// Reload takes over what may change while the daemon runs: the seeds.
func (r *Router) Reload(s crsettings.Router) {
	r.init()
	r.link.SetSeeds(s.Seeds)
	r.Log.Info("daemon: settings reloaded; seeds are in force, other changes at the next start",
		zap.Stringers("seeds", s.Seeds))
}

// Client returns an HTTP/1.1 client for peers and the store. It notices within
// a second or two that a connection is dead.
func Client() *http.Client {
	dialer := net.Dialer{
		Timeout:         peerDialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2},
	}
	return &http.Client{Transport: &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: 4,
		IdleConnTimeout:     20 * time.Second,
		DisableCompression:  true,
	}}
}

// changed is called after something came into force. The first routing makes
// this instance ready.
func (r *Router) changed() {
	ready := r.ready()
	r.state.SetSelf(func(s *crliveness.Status) { s.Ready = ready })
	r.link.ReportChangeNow()
}

// adopted is called after something that an instance told came into force.
func (r *Router) adopted(from string) {
	if r.ready() == r.state.Ready() && !r.state.MustForward(time.Now(), from) {
		r.link.MarkDigestChanged()
		return
	}
	r.changed()
}

// ready reports whether this instance takes requests from new callers.
func (r *Router) ready() bool {
	if r.leaving.Load() || r.state.Table() == nil || r.callers != nil && r.callers.Full() {
		return false
	}
	return r.state.Versions().Endpoints > 0
}

func (r *Router) serve(tasks *sync.WaitGroup) ([]*http.Server, error) {
	s := r.Settings
	fronts := func(domain string) []netip.AddrPort { return r.state.Fronts(time.Now(), domain) }
	peer, metrics := http.NewServeMux(), http.NewServeMux()
	r.link.Register(peer)
	r.registerDump(peer)
	vars := r.Metrics.Map()
	vars.Set("control-bytes", expvar.Func(func() any {
		sent, received := r.link.Bytes()
		return map[string]int64{"sent": sent, "received": received}
	}))
	vars.Set("answer-bytes-held", expvar.Func(func() any { return r.forwarder.Memory.Used() }))
	vars.Set("caller-connections", expvar.Func(func() any { return connectionCounts(r.callers) }))
	vars.Set("directory-connections", expvar.Func(func() any { return connectionCounts(r.directory) }))
	r.addMemoryMetrics(vars)
	vars.Set("log-lines-dropped", expvar.Func(func() any { return r.LinesDropped() }))
	metrics.HandleFunc("GET /debug/vars", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		fmt.Fprintln(w, vars)
	})
	var servers []*http.Server
	for _, l := range []struct {
		name    string
		address netip.AddrPort
		handler http.Handler
	}{
		{"front", s.Front, r.forwarder},
		{"ready", s.Ready, r.Ready(r.ready)},
		{"directory", s.Directory, r.Directory(fronts, s.AddressLifetime)},
		{"peer", s.Peer, peer},
		{"metrics", s.Metrics, metrics},
	} {
		if !l.address.IsValid() {
			continue
		}
		listener, err := net.Listen("tcp4", l.address.String())
		if err != nil {
			for _, s := range servers {
				s.Close()
			}
			return nil, fmt.Errorf("%s listener: %w", l.name, err)
		}
		server := &http.Server{
			Handler:           l.handler,
			ReadHeaderTimeout: readHeaderTimeout,
			IdleTimeout:       idleTimeout,
			MaxHeaderBytes:    maxHeaderBytes,
			ErrorLog:          zap.NewStdLog(r.Log.WithOptions(zap.IncreaseLevel(zap.ErrorLevel))),
		}
		switch l.name {
		case "front":
			listener = r.serveCallers(server, listener)
		case "directory":
			listener = r.serveDirectory(server, listener)
		}
		servers = append(servers, server)
		tasks.Go(func() {
			if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
				r.Log.Error("daemon: a listener failed", zap.String("listener", l.name), zap.Error(err))
			}
		})
	}
	return servers, nil
}

// housekeep closes idle connections that are past their time.
func (r *Router) housekeep(ctx context.Context) {
	for crbackoff.Sleep(ctx, prunePause) == nil {
		r.hop.Prune(time.Now(), func(k crledger.Key) bool { return r.state.HasEndpoint(k) })
	}
}

// leave sends callers elsewhere and waits for the requests. Kept connections
// are served until their callers have had the time to hear of other addresses,
// and are asked to close then. leave returns when the process must end.
func (r *Router) leave(ctx context.Context) (stopAt time.Time) {
	r.leaving.Store(true)
	r.state.SetSelf(func(s *crliveness.Status) { s.Ready, s.Leaving = false, true })
	r.link.ReportChangeNow()
	r.Log.Info("daemon: leaving", zap.Int64("requests-in-flight", r.Metrics.InFlight.Value()))
	limit := r.Settings.StopTimeout
	start := time.Now()
	_ = crbackoff.Sleep(ctx, closingDelay(limit))
	r.closing.Store(true)
	stopAt = start.Add(limit - stopMargin)
	r.stopAt.Store(&stopAt)
	quiet := time.Time{}
	for time.Now().Before(stopAt) && ctx.Err() == nil {
		_ = crbackoff.Sleep(ctx, 50*time.Millisecond)
		if time.Until(stopAt) < endWaitsBefore {
			r.forwarder.EndWaits()
		}
		if r.Metrics.InFlight.Value() > 0 {
			quiet = time.Time{}
			continue
		}
		if quiet.IsZero() {
			quiet = time.Now()
		}
		if time.Since(quiet) > quietBeforeStop {
			break
		}
	}
	r.Log.Info("daemon: left", zap.Int64("requests-in-flight", r.Metrics.InFlight.Value()), zap.Duration("after-ms", time.Since(start)))
	return stopAt
}

// endWaitsBefore is how long before its end the process gives up the requests that wait for an
// answer, so that an error reaches their callers.
const endWaitsBefore = 200 * time.Millisecond

// quietBeforeStop is how long no request may have come before the process ends:
// callers that keep an old answer may still send some.
const quietBeforeStop = 1200 * time.Millisecond
