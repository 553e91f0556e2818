// Package crlink exchanges reports between instances in UDP datagrams, and fetches a
// snapshot over HTTP from an instance that has newer versions.
//
// A full report carries the news of its sender. A brief one carries only its versions,
// their ages and its state. A digest is sent by the relay of a failure domain to other
// failure domains, and a bulletin by the relay of a large failure domain to the instances
// of its own. Both are carried by reports and may be forwarded.
//
// Outages are the failure domains that are out of service. "outs" in log fields and URL
// parameters stands for them.
//
// Datagrams may be lost, duplicated or delayed, so each report replaces the one before
// it. A failure in this package is logged and never ends the process or a request.
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

	"crocusrack/core/crbackoff"
	"crocusrack/core/crgrant"
	"crocusrack/core/crliveness"
	"crocusrack/core/crversion"
	pb "crocusrack/schema/crrouter"
)

const (
	// seedInterval is the shortest time between reports to the seeds, which are sent
	// while no other instance is known to be alive.
	seedInterval = 500 * time.Millisecond
	// maxDatagramBytes is the largest datagram that is read, in bytes.
	maxDatagramBytes = 60 << 10
	// fetchTimeout bounds the time of a fetch from a peer.
	fetchTimeout = time.Second
	// maxSnapshotBytes bounds the uncompressed bytes that are read of a snapshot.
	maxSnapshotBytes = 16 << 20
	// snapshotPath is the URL path at which an instance serves its snapshot.
	snapshotPath = "/snapshot"
)

// Link exchanges reports with other instances. Set the exported fields, and the seeds
// with SetSeeds, before Run.
type Link struct {
	State *crgrant.State
	// Conn is the socket for sending and receiving reports. Run closes it.
	Conn net.PacketConn
	// HTTP fetches snapshots.
	HTTP *http.Client
	Log  *zap.Logger
	// Adopted is called after a snapshot was adopted, with the name of the instance
	// that it came from.
	Adopted func(from string)

	seeds atomic.Pointer[[]netip.AddrPort]
	// reportNow makes Run send reports at once.
	reportNow chan struct{}
	// streamsNow makes Run tell other instances of streams.
	streamsNow chan struct{}
	// digestChanged is true if something has changed that the next digest must contain.
	digestChanged atomic.Bool
	once          sync.Once
	// fetching is true while a snapshot is being fetched.
	fetching atomic.Bool
	// contextsFetched is true while this instance fetches from a peer which prompt
	// contexts the endpoints hold, and once such a fetch has succeeded.
	contextsFetched atomic.Bool
	// sent and received count the bytes of reports.
	sent     atomic.Int64
	received atomic.Int64
	cache    snapshotCache
}

func (l *Link) init() {
	l.once.Do(func() { l.reportNow, l.streamsNow = make(chan struct{}, 1), make(chan struct{}, 1) })
}

// SetSeeds sets the addresses of the instances that reports go to while no other
// instance is known.
func (l *Link) SetSeeds(seeds []netip.AddrPort) { l.seeds.Store(&seeds) }

// ReportChangeNow sends reports at once and marks the next digest to other failure
// domains as changed. It is called when a version has changed.
func (l *Link) ReportChangeNow() {
	l.MarkDigestChanged()
	l.ReportNow()
}

// MarkDigestChanged marks the next digest to other failure domains as changed, so that it
// is a full one. It has an effect only if this instance is the relay of its failure
// domain.
func (l *Link) MarkDigestChanged() { l.digestChanged.Store(true) }

// ReportNow makes Run send reports at once, because other instances wait for what has
// changed.
func (l *Link) ReportNow() {
	l.init()
	select {
	case l.reportNow <- struct{}{}:
	default:
	}
}

// TellStreams makes Run tell other instances which versions began streams.
func (l *Link) TellStreams() {
	l.init()
	select {
	case l.streamsNow <- struct{}{}:
	default:
	}
}

const (
	// streamQueries is how often other instances are asked for the version of a stream, and
	// queryTimeout the time for an answer. Messages may be lost.
	streamQueries = 2
	queryTimeout  = 60 * time.Millisecond
	// queryPoll is the interval at which answers are looked for.
	queryPoll = 5 * time.Millisecond
)

// FindStream asks other instances which version of a service began the stream that the caller's
// attempt with the given id got. It returns zero if none of them knows.
func (l *Link) FindStream(ctx context.Context, service, id string) crversion.Version {
	for range streamQueries {
		queries := l.State.StreamQueries(time.Now(), id)
		if len(queries) == 0 {
			return 0
		}
		for _, d := range queries {
			l.send(d.To, d.Report)
		}
		for end := time.Now().Add(queryTimeout); time.Now().Before(end); {
			if crbackoff.Sleep(ctx, queryPoll) != nil {
				return 0
			}
			if v, _ := l.State.StreamVersion(time.Now(), service, id); v != 0 {
				return v
			}
		}
	}
	return 0
}

// Bytes returns the number of bytes of reports sent and received.
func (l *Link) Bytes() (sent, received int64) { return l.sent.Load(), l.received.Load() }

// Run exchanges reports until the context ends. It returns after all fetches have ended.
func (l *Link) Run(ctx context.Context) {
	l.init()
	var tasks sync.WaitGroup
	tasks.Go(func() { l.receive(ctx, &tasks) })
	timer := time.NewTimer(0)
	defer timer.Stop()
	// The digests between two full ones carry only the contexts of prompts.
	digestTicker := time.NewTicker(crgrant.ContextInterval)
	defer digestTicker.Stop()
	lastSeeds := time.Time{}
	for {
		urgent := false
		select {
		case <-ctx.Done():
			l.Conn.Close()
			tasks.Wait()
			return
		case <-digestTicker.C:
			l.sendDigests(time.Now())
			continue
		case <-l.streamsNow:
			l.tellStreams()
			continue
		case <-timer.C:
		case <-l.reportNow:
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
		timer.Reset(crliveness.ReportInterval)
	}
}

// streamNewsPause is the time between two parts of the news of streams.
const streamNewsPause = 40 * time.Millisecond

// tellStreams sends a part of the news of streams, and has Run send the next one after a pause.
func (l *Link) tellStreams() {
	for _, d := range l.State.StreamNews(time.Now()) {
		l.send(d.To, d.Report)
	}
	if l.State.HasStreamNews(time.Now()) {
		time.AfterFunc(streamNewsPause, l.TellStreams)
	}
}

// report sends the bulletin, if there is a new one, and the full or brief reports that are
// due. If urgent is true, it sends the reports for urgent news instead of those of the
// current tick.
func (l *Link) report(now time.Time, urgent bool) {
	due := l.State.DueAtOnce
	if !urgent {
		due = l.State.Due
	}
	bulletin, err := l.State.Bulletin(now)
	if err != nil {
		l.Log.Error("link: can't build a bulletin", zap.Error(err))
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

// sendDigests sends a digest of this instance's failure domain to other failure domains,
// if this instance is the relay of its own.
func (l *Link) sendDigests(now time.Time) {
	if !l.State.IsOwnDomainRelay(now) {
		return
	}
	digest := l.State.Digest(now, l.digestChanged.Swap(false))
	if digest == nil {
		return
	}
	// Digests returns the instances that the digest is sent to.
	for _, i := range l.State.Digests(now) {
		l.send(i.Peer, l.State.ComposeDigest(now, i.Name, digest))
	}
}

// send sends a report in one datagram. It does nothing if the address is that of this
// instance.
func (l *Link) send(to netip.AddrPort, m *pb.Report) {
	if to == l.State.Self.Peer {
		return
	}
	data, err := proto.Marshal(m)
	if err != nil {
		l.Log.Error("link: can't encode a report", zap.Error(err))
		return
	}
	n, err := l.Conn.WriteTo(data, net.UDPAddrFromAddrPort(to))
	if err != nil {
		l.Log.Debug("link: can't send a report", zap.Stringer("to", to), zap.Error(err))
		return
	}
	l.sent.Add(int64(n))
}

// receive reads reports until the socket is closed or the context ends.
func (l *Link) receive(ctx context.Context, tasks *sync.WaitGroup) {
	buffer := make([]byte, maxDatagramBytes)
	for ctx.Err() == nil {
		n, _, err := l.Conn.ReadFrom(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			l.Log.Warn("link: can't read reports", zap.Error(err))
			continue
		}
		l.received.Add(int64(n))
		l.handleReport(ctx, tasks, buffer[:n])
	}
}

// handleReport processes one datagram: it forwards the digests and bulletins in it where
// needed, answers a new instance, and starts fetching if the sender has newer versions.
func (l *Link) handleReport(ctx context.Context, tasks *sync.WaitGroup, data []byte) {
	m := &pb.Report{}
	if err := proto.Unmarshal(data, m); err != nil {
		l.Log.Warn("link: can't decode a datagram as a report", zap.Error(err))
		return
	}
	now := time.Now()
	heard, err := l.State.Receive(now, m)
	if err != nil {
		l.Log.Warn("link: rejected a report", zap.Error(err))
		return
	}
	for _, d := range heard.Forward {
		l.send(d.To, d.Report)
	}
	if heard.New {
		l.Log.Info("link: an instance reports", zap.String("instance", heard.From.Name), zap.Uint64("run", m.GetRun()))
	}
	if heard.Answer {
		reply := l.State.Compose(now, heard.From.Name)
		if heard.Introduce {
			// Adds instances that are known here to the reply.
			l.State.Introduce(now, heard.From.FailureDomain, reply)
		}
		l.send(heard.From.Peer, reply)
	}
	if heard.New && l.contextsFetched.CompareAndSwap(false, true) {
		tasks.Go(func() { l.fetchContexts(ctx, heard.From) })
	}
	if heard.Behind && l.fetching.CompareAndSwap(false, true) {
		tasks.Go(func() {
			defer l.fetching.Store(false)
			l.fetchSnapshot(ctx, heard.From)
		})
	}
}

// fetchSnapshot fetches and adopts what is newer at a peer. If the newer endpoints alone
// aren't enough, it fetches all endpoints.
func (l *Link) fetchSnapshot(ctx context.Context, from crliveness.Instance) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	have := l.State.Versions().Endpoints
	err := l.adopt(ctx, from, have)
	if errors.Is(err, crgrant.ErrIncomplete) {
		l.Log.Info("link: fetching all endpoints", zap.String("instance", from.Name), zap.Uint64("endpoints-revision", have.Revision()), zap.Error(err))
		err = l.adopt(ctx, from, 0)
	}
	if err != nil {
		l.Log.Warn("link: can't fetch or adopt a peer's snapshot", zap.String("instance", from.Name), zap.Error(err))
		return
	}
	v := l.State.Versions()
	l.Log.Info("link: adopted a peer's snapshot", zap.String("instance", from.Name),
		zap.Uint64("routing-version", v.Routing), zap.Uint64("endpoints-revision", v.Endpoints.Revision()), zap.Uint64("outs-revision", v.Outs.Revision()),
		zap.Uint64("rollouts-revision", v.Rollouts.Revision()), zap.Uint64("store-era", v.Endpoints.Era()))
	l.Adopted(from.Name)
}

// adopt fetches and adopts what is newer at a peer than the routing and outages here,
// and than the given position of the endpoints. Zero fetches all endpoints.
func (l *Link) adopt(ctx context.Context, from crliveness.Instance, endpoints crgrant.Position) error {
	m, err := l.getSnapshot(ctx, from, endpoints, false)
	if err != nil {
		return err
	}
	return l.State.ApplySnapshot(time.Now(), m)
}

// fetchContexts fetches from a peer which contexts the endpoints hold. If the peer knows
// none, because it has just started itself, or if the fetch fails, the next new peer is
// asked.
func (l *Link) fetchContexts(ctx context.Context, from crliveness.Instance) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	m, err := l.getSnapshot(ctx, from, l.State.Versions().Endpoints, true)
	if err != nil {
		l.contextsFetched.Store(false)
		l.Log.Warn("link: can't fetch a peer's contexts", zap.String("instance", from.Name), zap.Error(err))
		return
	}
	l.State.ApplyContexts(time.Now(), m.GetContexts())
	count := len(m.GetContexts().GetContexts())
	if count == 0 {
		l.contextsFetched.Store(false)
		return
	}
	l.Log.Info("link: took over a peer's contexts", zap.String("instance", from.Name), zap.Int("contexts", count))
}

// getSnapshot requests from a peer what is newer than the routing and outages here and
// than the given position of the endpoints, and the endpoints' contexts if wanted.
func (l *Link) getSnapshot(ctx context.Context, from crliveness.Instance, endpoints crgrant.Position, contexts bool) (*pb.Snapshot, error) {
	v := l.State.Versions()
	v.Endpoints = endpoints
	url := fmt.Sprintf("http://%s%s?%s&contexts=%t", from.Peer, snapshotPath, versionsQuery(v), contexts)
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
		return nil, fmt.Errorf("GET %s: status %s", url, response.Status)
	}
	reader, err := gzip.NewReader(response.Body)
	if err != nil {
		return nil, fmt.Errorf("decompress snapshot: %w", err)
	}
	data, err := io.ReadAll(io.LimitReader(reader, maxSnapshotBytes))
	if err != nil {
		return nil, fmt.Errorf("read snapshot: %w", err)
	}
	m := &pb.Snapshot{}
	return m, proto.Unmarshal(data, m)
}
