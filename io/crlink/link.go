// Package crlink carries reports between instances in datagrams, and fetches
// what is newer at another instance.
//
// Datagrams may be lost, come twice or late: each report replaces the one before
// it. A failure here is logged and never ends the process or a request.
package crlink

import (
	"compress/gzip"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"crocusrack/core/crgrant"
	"crocusrack/core/crroster"
	pb "crocusrack/schema/crrouter"
)

const (
	// seedInterval is the pause between reports to the seeds while no instance
	// is known.
	seedInterval = 500 * time.Millisecond
	// maxDatagram is the largest datagram that is read, in bytes.
	maxDatagram = 60 << 10
	// fetchTimeout bounds a fetch from a peer.
	fetchTimeout = time.Second
	// maxSnapshot bounds what is read of a snapshot, in bytes.
	maxSnapshot = 16 << 20
	// snapshotPath is where an instance serves its snapshot.
	snapshotPath = "/snapshot"
)

// Link exchanges reports. Set the exported fields before Run.
type Link struct {
	State *crgrant.State
	// Packets is the socket of the reports. Run closes it.
	Packets net.PacketConn
	// HTTP fetches snapshots.
	HTTP *http.Client
	Log  *zap.Logger
	// Adopted is called after a snapshot was adopted.
	Adopted func(from string)

	seeds atomic.Pointer[[]netip.AddrPort]
	now   chan struct{}
	// digest is true when the next reports go with a digest at once.
	digest   atomic.Bool
	once     sync.Once
	fetching atomic.Bool
	// contexts is true once a peer has told what endpoints hold.
	contexts atomic.Bool
	sent     atomic.Int64
	received atomic.Int64
	packed   packed
}

func (l *Link) init() {
	l.once.Do(func() { l.now = make(chan struct{}, 1) })
}

// SetSeeds sets the instances to start from.
func (l *Link) SetSeeds(seeds []netip.AddrPort) { l.seeds.Store(&seeds) }

// TellAll sends reports at once, to other failure domains too: a version
// changed.
func (l *Link) TellAll() {
	l.TellDomains()
	l.Tell()
}

// TellDomains tells other failure domains at once, if this instance is the relay
// of its own.
func (l *Link) TellDomains() { l.digest.Store(true) }

// Tell sends reports at once: others wait for what has changed.
func (l *Link) Tell() {
	l.init()
	select {
	case l.now <- struct{}{}:
	default:
	}
}

// Bytes returns the bytes of reports sent and received.
func (l *Link) Bytes() (sent, received int64) { return l.sent.Load(), l.received.Load() }

// Run exchanges reports until the context ends.
func (l *Link) Run(ctx context.Context) {
	l.init()
	var tasks sync.WaitGroup
	tasks.Go(func() { l.receive(ctx, &tasks) })
	timer := time.NewTimer(0)
	defer timer.Stop()
	digests := time.NewTicker(crgrant.ContextInterval)
	defer digests.Stop()
	lastSeeds := time.Time{}
	for {
		urgent := false
		select {
		case <-ctx.Done():
			l.Packets.Close()
			tasks.Wait()
			return
		case <-digests.C:
			l.sendDigests(time.Now())
			continue
		case <-timer.C:
		case <-l.now:
			urgent = true
		}
		now := time.Now()
		l.report(now, urgent)
		if len(l.State.Alive(now)) == 0 && now.Sub(lastSeeds) > seedInterval {
			lastSeeds = now
			for _, a := range *l.seeds.Load() {
				l.send(a, l.State.Compose(now, ""))
			}
		}
		timer.Reset(crroster.ReportInterval)
	}
}

// report sends the reports that are due, or one to each target at once.
func (l *Link) report(now time.Time, urgent bool) {
	due := l.State.DueAtOnce
	if !urgent {
		due = l.State.Due
	}
	bulletin, err := l.State.Bulletin(now)
	if err != nil {
		l.Log.Error("link: a bulletin can't be made", zap.Error(err))
	}
	for _, d := range bulletin {
		l.send(d.To, d.Report)
	}
	for _, d := range due(now) {
		if d.Brief {
			l.send(d.Peer, l.State.ComposeBrief(now, d.Name))
		} else {
			l.send(d.Peer, l.State.Compose(now, d.Name))
		}
	}
}

// sendDigests tells other failure domains of the own one, if this instance is
// its relay.
func (l *Link) sendDigests(now time.Time) {
	if !l.State.Relays(now) {
		return
	}
	digest := l.State.Digest(now, l.digest.Swap(false))
	if digest == nil {
		return
	}
	for _, i := range l.State.Digests(now) {
		l.send(i.Peer, l.State.ComposeDigest(now, i.Name, digest))
	}
}

func (l *Link) send(to netip.AddrPort, m *pb.Report) {
	if to == l.State.Self.Peer {
		return
	}
	data, err := proto.Marshal(m)
	if err != nil {
		l.Log.Error("link: a report can't be encoded", zap.Error(err))
		return
	}
	n, err := l.Packets.WriteTo(data, net.UDPAddrFromAddrPort(to))
	if err != nil {
		l.Log.Debug("link: a report can't be sent", zap.Stringer("to", to), zap.Error(err))
		return
	}
	l.sent.Add(int64(n))
}

func (l *Link) receive(ctx context.Context, tasks *sync.WaitGroup) {
	buffer := make([]byte, maxDatagram)
	for ctx.Err() == nil {
		n, _, err := l.Packets.ReadFrom(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			l.Log.Warn("link: reports can't be read", zap.Error(err))
			continue
		}
		l.received.Add(int64(n))
		l.take(ctx, tasks, buffer[:n])
	}
}

func (l *Link) take(ctx context.Context, tasks *sync.WaitGroup, data []byte) {
	m := &pb.Report{}
	if err := proto.Unmarshal(data, m); err != nil {
		l.Log.Warn("link: a datagram is no report", zap.Error(err))
		return
	}
	now := time.Now()
	heard, err := l.State.Receive(now, m)
	if err != nil {
		l.Log.Warn("link: a report can't be used", zap.Error(err))
		return
	}
	for _, d := range heard.Forward {
		l.send(d.To, d.Report)
	}
	if heard.New {
		l.Log.Info("link: an instance reports", zap.String("instance", heard.From.Name), zap.Uint64("run", m.GetRun()))
		reply := l.State.Compose(now, heard.From.Name)
		if heard.Introduce {
			l.State.Introduce(now, heard.From.FailureDomain, reply)
		}
		l.send(heard.From.Peer, reply)
	}
	if heard.New && l.contexts.CompareAndSwap(false, true) {
		tasks.Go(func() { l.fetchContexts(ctx, heard.From) })
	}
	if heard.Behind && l.fetching.CompareAndSwap(false, true) {
		tasks.Go(func() {
			defer l.fetching.Store(false)
			l.fetch(ctx, heard.From)
		})
	}
}

// fetch adopts what is newer at a peer.
func (l *Link) fetch(ctx context.Context, from crroster.Instance) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	_, have, _ := l.State.Have()
	err := l.adopt(ctx, from, have)
	if errors.Is(err, crgrant.ErrIncomplete) {
		l.Log.Info("link: the endpoints are fetched whole", zap.String("instance", from.Name), zap.Uint64("endpoints-revision", have), zap.Error(err))
		err = l.adopt(ctx, from, 0)
	}
	if err != nil {
		l.Log.Warn("link: a peer's snapshot can't be had", zap.String("instance", from.Name), zap.Error(err))
		return
	}
	routing, endpoints, outs := l.State.Have()
	l.Log.Info("link: adopted a peer's snapshot", zap.String("instance", from.Name),
		zap.Uint64("routing-version", routing), zap.Uint64("endpoints-revision", endpoints), zap.Uint64("outs-revision", outs))
	l.Adopted(from.Name)
}

// adopt takes what is newer at a peer than what is here, and than a revision of
// the endpoints.
func (l *Link) adopt(ctx context.Context, from crroster.Instance, endpoints uint64) error {
	m, err := l.get(ctx, from, endpoints, false)
	if err != nil {
		return err
	}
	return l.State.Adopt(time.Now(), m)
}

// fetchContexts takes what endpoints hold from a peer. One that has just started
// itself knows nothing; another is asked then.
func (l *Link) fetchContexts(ctx context.Context, from crroster.Instance) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	_, have, _ := l.State.Have()
	m, err := l.get(ctx, from, have, true)
	if err != nil {
		l.contexts.Store(false)
		l.Log.Warn("link: a peer's contexts can't be had", zap.String("instance", from.Name), zap.Error(err))
		return
	}
	count := len(m.GetContexts().GetContexts())
	if count == 0 {
		l.contexts.Store(false)
		return
	}
	l.State.TakeContexts(time.Now(), m.GetContexts())
	l.Log.Info("link: took over a peer's contexts", zap.String("instance", from.Name), zap.Int("contexts", count))
}

func (l *Link) get(ctx context.Context, from crroster.Instance, endpoints uint64, contexts bool) (*pb.Snapshot, error) {
	routing, _, outs := l.State.Have()
	url := fmt.Sprintf("http://%s%s?routing=%d&endpoints=%d&outs=%d&contexts=%t",
		from.Peer, snapshotPath, routing, endpoints, outs, contexts)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	response, err := l.HTTP.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("status %s", response.Status)
	}
	reader, err := gzip.NewReader(response.Body)
	if err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	data, err := io.ReadAll(io.LimitReader(reader, maxSnapshot))
	if err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	m := &pb.Snapshot{}
	return m, proto.Unmarshal(data, m)
}
