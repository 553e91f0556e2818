package crdaemon

import (
	"crypto/rand"
	"crypto/tls"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"crocusrack/core/cradmit"
	"crocusrack/core/crbackoff"
	"crocusrack/core/crcatalogue"
	"crocusrack/core/crexecution"
	"crocusrack/core/crmember"
	"crocusrack/core/crshard"
	"crocusrack/io/crendpoint"
	"crocusrack/io/crentry"
	"crocusrack/io/crfleet"
	"crocusrack/io/crfollower"
	"crocusrack/io/crmetric"
	"crocusrack/io/crowner"
	"crocusrack/io/crpeer"
	"crocusrack/io/crstore"
	"crocusrack/io/crtls"
	"crocusrack/io/crtransport"
)

// build makes the parts and joins them.
func (d *Daemon) build() error {
	if d.Dial == nil {
		d.Dial = crtransport.NetDial
	}
	if d.Listen == nil {
		d.Listen = func(a netip.AddrPort) (net.Listener, error) { return net.Listen("tcp", a.String()) }
	}
	d.released = make(map[crshard.Key]time.Time)
	d.takers = make(map[crshard.Key]taker)
	d.owned = make(map[crshard.Key]bool)
	d.loads.table.FailureDomain = d.Settings.FailureDomain
	d.loads.pace = loadPace(d.Settings.ControlBytesPerSecond)
	d.view.unsettled = true
	d.view.layout.Store(crshard.New(nil, nil))
	if err := d.buildStore(); err != nil {
		return err
	}
	if err := d.buildPeers(); err != nil {
		return err
	}
	d.buildOwner()
	d.buildEntry()
	d.buildQuotas()
	d.buildFollower()
	d.buildPlacements()
	d.buildGauges()
	return nil
}

// httpClient returns a client whose connections are closed when Run ends.
func (d *Daemon) httpClient(dial crtransport.DialFunc, config *tls.Config) *http.Client {
	c := crtransport.Client(dial, config)
	d.clients = append(d.clients, c)
	return c
}

func (d *Daemon) buildStore() error {
	var config *tls.Config
	if strings.HasPrefix(d.Settings.Platform.URL, "https://") {
		var err error
		if config, err = crtls.Outward(d.Settings.Platform.Authorities); err != nil {
			return fmt.Errorf("platform: %w", err)
		}
	}
	d.store = &crstore.Client{
		URL:             d.Settings.Platform.URL,
		HTTP:            d.httpClient(d.counted("store"), config),
		Timeout:         d.Settings.Platform.Timeout,
		ReadsPerSecond:  d.Settings.Platform.ReadsPerSecond,
		WritesPerSecond: d.Settings.Platform.WritesPerSecond,
		Called:          d.storeCalled,
	}
	retry := crbackoff.Backoff{Base: storeRetryBase, Max: storeRetryMax}
	d.catalogueStore = &crcatalogue.Store{Store: d.store.Store(), NewWriteID: rand.Text, Pause: retry.Sleep}
	return nil
}

func (d *Daemon) buildPeers() error {
	d.peers = &crpeer.Pool{Dial: func(k crpeer.Traffic) crtransport.DialFunc {
		if k == crpeer.Control {
			return d.countedPeer
		}
		return d.dialRequests
	}, Stats: crmetric.Counter{Set: &d.Metrics}}
	if !d.Settings.Peer.PlainText {
		credentials, err := d.certificates(d.Settings.Peer).Credentials()
		if err != nil {
			return fmt.Errorf("peer credentials: %w", err)
		}
		d.peers.Credentials = credentials
	}
	d.fleet = &crfleet.Fleet{
		Table: &crmember.Table{
			Self: crmember.Member{
				Name:          d.Settings.Instance,
				FailureDomain: d.Settings.FailureDomain,
				Incarnation:   uint64(d.started.UnixMilli()),
				Run:           d.RunNumber,
				Caller:        d.Settings.Caller.Advertise,
				Peer:          d.Settings.Peer.Advertise,
				Operator:      d.Settings.Operator.Advertise,
			},
			Seed: d.RunNumber,
		},
		Peers:     d.peers,
		Log:       d.Log,
		Catalogue: func() (uint64, uint64) { return d.follower.Version() },
		OnCatalogueVersion: func(m crmember.Member, version, hash uint64) {
			d.follower.Told(d.context, m, version, hash)
		},
		OnUsableChanged: d.membersChanged,
	}
	return nil
}

func (d *Daemon) buildOwner() {
	d.probes = &crendpoint.Client{HTTP: d.httpClient(d.counted("report"), nil), Scheme: "http"}
	d.caches = &crendpoint.Client{HTTP: d.httpClient(d.counted("cache-events"), nil), Scheme: "http"}
	d.owner = &crowner.Owner{
		Instance: d.Settings.Instance,
		Admitter: &cradmit.Admitter{
			LoadMultiple: d.loadMultiple,
			Mean:         d.loads.mean,
		},
		Endpoints: &crendpoint.Client{
			HTTP:   d.httpClient(d.dialRequests, nil),
			Scheme: "http",
			Late:   func() { d.Metrics.LateAnswers.Add(1) },
		},
		MayUse: func(account, service string) bool {
			set := d.follower.Current()
			return set != nil && set.MayUse(account, service)
		},
		Baseline:  d.baseline(),
		OnContext: d.moveLate,
		Log:       d.Log,
		OnAnswer: func(_ string, prompt, cached int) {
			d.Metrics.PromptTokens.Add(int64(prompt))
			d.Metrics.CachedTokens.Add(int64(cached))
		},
	}
}

func (d *Daemon) buildEntry() {
	claims := crexecution.ClaimStore{Store: d.store.Store(), WriteID: rand.Text}
	d.entry = &crentry.Entry{
		Instance:        d.Settings.Instance,
		Run:             d.RunNumber,
		AddressLifetime: d.Settings.AddressLifetime,
		MaxRequestBytes: d.Settings.MaxRequestBytes,
		Owner:           d.owner,
		Peers:           d.peers,
		Log:             d.Log,
		Catalogue:       d.ready,
		Shards:          d.walk,
		Holder:          d.holder,
		Instances:       d.entries,
		Member:          d.fleet.Member,
		OnAddressAnswer: d.noteAddressed,
		OnRequestEnded: func(_ string, o *outcome) {
			d.Metrics.End(o)
		},
		OnRetry: func() { d.Metrics.Retries.Add(1) },
		Claim:   claims.Claim,
	}
	d.entry.Executions.Registry = &crexecution.Registry{
		Instance:          d.Settings.Instance,
		Run:               d.RunNumber,
		Key:               randomKey(),
		TokenLifetime:     d.Settings.AddressLifetime + executionGrace,
		OutcomeLifetime:   d.Settings.OutcomeLifetime,
		MaxTokens:         maxExecutions,
		MaxTotalBodyBytes: outcomeBodies,
		MaxBodyBytes:      largestOutcomeBody,
	}
	d.entry.Retries.Instances = func() int { return int(d.usable.Load()) }
	d.entry.Quota = crentry.Quota{Admit: d.quotas.admit, Done: d.quotas.done}
}

func (d *Daemon) buildFollower() {
	d.follower = &crfollower.Follower{
		Load:    d.catalogueStore.Load,
		Watch:   d.watchHead,
		Pull:    d.pullCatalogue,
		Members: d.view.names,
		Adopted: d.adopted,
		Self:    d.Settings.Instance,
		Log:     d.Log,
	}
}
