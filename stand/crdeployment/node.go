package crdeployment

import (
	"context"
	"sync"

	"go.uber.org/zap"

	"crocusrack/core/crsettings"
	"crocusrack/io/crdaemon"
	"crocusrack/io/crmetric"
	"crocusrack/schema/crplatform"
)

// Node is one daemon, which may be killed, drained and started again.
type Node struct {
	deployment *Deployment
	settings   crsettings.Settings

	mu     sync.Mutex
	daemon *crdaemon.Daemon
	cancel context.CancelFunc
	done   chan struct{}
}

// Name returns the instance's name.
func (n *Node) Name() string { return n.settings.Instance }

// FailureDomain returns the instance's failure domain.
func (n *Node) FailureDomain() string { return n.settings.FailureDomain }

// Start runs the daemon in a new run.
func (n *Node) Start() {
	n.mu.Lock()
	defer n.mu.Unlock()
	d := n.deployment
	ctx, cancel := context.WithCancel(context.Background())
	daemon := &crdaemon.Daemon{
		Settings:  n.settings,
		Log:       d.Log.With(zap.String("instance", n.settings.Instance)),
		RunNumber: newRun(),
		Listen:    d.Network.Listen,
		Dial:      d.Network.Dial(n.settings.Instance),
		Loads:     d.Loads,
	}
	done := make(chan struct{})
	n.daemon, n.cancel, n.done = daemon, cancel, done
	d.Platform.AddInstance(&crplatform.Instance{
		Name:          n.settings.Instance,
		FailureDomain: n.settings.FailureDomain,
		PeerAddress:   n.settings.Peer.Advertise.String(),
	})
	go func() {
		defer close(done)
		if err := daemon.Run(ctx); err != nil {
			d.Log.Error("deployment: a daemon failed", zap.String("instance", n.settings.Instance), zap.Error(err))
		}
	}()
}

// Kill ends the daemon without warning: its connections break at once.
func (n *Node) Kill() {
	n.mu.Lock()
	daemon, cancel, done := n.daemon, n.cancel, n.done
	n.daemon = nil
	n.mu.Unlock()
	if daemon == nil {
		return
	}
	n.deployment.Network.Kill(n.settings.Instance)
	cancel()
	<-done
}

// Drain tells the daemon to leave and waits until it has.
func (n *Node) Drain() {
	n.mu.Lock()
	daemon, done := n.daemon, n.done
	n.mu.Unlock()
	if daemon == nil {
		return
	}
	daemon.Drain()
	<-done
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.daemon == daemon {
		n.cancel()
		n.daemon = nil
	}
}

// Running reports whether the daemon has been started and not ended.
func (n *Node) Running() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.daemon != nil
}

// CatalogueVersion returns the version in force at the daemon, or 0.
func (n *Node) CatalogueVersion() uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.daemon == nil {
		return 0
	}
	return n.daemon.CatalogueVersion()
}

// Metrics returns the daemon's metrics, or nil when it doesn't run.
func (n *Node) Metrics() *crmetric.Set {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.daemon == nil {
		return nil
	}
	return &n.daemon.Metrics
}
