package crdaemon

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net/http"
	"time"

	"go.uber.org/zap"
	"google.golang.org/grpc"

	"crocusrack/core/crsettings"
	"crocusrack/io/crmetric"
	"crocusrack/io/crpeer"
	"crocusrack/io/crtls"
	"crocusrack/io/crtransport"
	peerpb "crocusrack/schema/crpeer"
)

// servers are the listeners' servers.
type servers struct {
	http []*http.Server
	peer *grpc.Server
}

// shutdown ends the servers. What they have read by then is answered for at most
// shutdownTimeout.
func (d *Daemon) shutdown(ctx context.Context, s *servers) {
	ctx, cancel := context.WithTimeout(ctx, shutdownTimeout)
	defer cancel()
	peersEnded := make(chan struct{})
	d.tasks.Go(func() {
		defer close(peersEnded)
		s.peer.GracefulStop()
	})
	for _, h := range s.http {
		// A connection that stays open after the timeout is closed next.
		_ = h.Shutdown(ctx)
	}
	d.awaitPeers(ctx, peersEnded)
}

// awaitPeers waits until the connections of all peers have ended. The connection of a peer
// that can't be reached stays open, so awaitPeers also returns once no request has been in
// progress for shutdownIdleTime.
func (d *Daemon) awaitPeers(ctx context.Context, ended <-chan struct{}) {
	t := time.NewTicker(leaveInterval)
	defer t.Stop()
	for idleSince := time.Now(); time.Since(idleSince) < shutdownIdleTime; {
		select {
		case <-ended:
			return
		case <-ctx.Done():
			return
		case <-t.C:
		}
		if d.inFlight() > 0 {
			idleSince = time.Now()
		}
	}
}

func (s *servers) close() {
	for _, h := range s.http {
		h.Close()
	}
	s.peer.Stop()
}

func (d *Daemon) serve(ctx context.Context) (*servers, error) {
	s := &servers{}
	peerListener, err := d.Listen(d.Settings.Peer.Address)
	if err != nil {
		return nil, fmt.Errorf("peer listener: %w", err)
	}
	var peerTLS *tls.Config
	if peerTLS, err = d.listenerTLS(d.Settings.Peer); err != nil {
		return nil, fmt.Errorf("peer listener: %w", err)
	}
	counted := &crmetric.Listener{Listener: peerListener, Set: &d.Metrics}
	counter := crmetric.Counter{Set: &d.Metrics, Listener: counted}
	s.peer = grpc.NewServer(append(crpeer.ServerOptions(peerTLS), grpc.StatsHandler(counter))...)
	peerpb.RegisterPeerServiceServer(s.peer, &peerServer{Fleet: d.fleet, daemon: d})
	d.tasks.Go(func() {
		if err := s.peer.Serve(counted); err != nil && ctx.Err() == nil {
			d.Log.Error("daemon: the peer listener failed", zap.Error(err))
		}
	})
	for _, l := range []struct {
		name     string
		settings crsettings.Listener
		handler  http.Handler
	}{
		{"caller", d.Settings.Caller, d.callerHandler()},
		{"operator", d.Settings.Operator, d.operatorHandler()},
	} {
		server, err := d.serveHTTP(ctx, l.settings, l.handler)
		if err != nil {
			s.close()
			return nil, fmt.Errorf("%s listener: %w", l.name, err)
		}
		s.http = append(s.http, server)
	}
	return s, nil
}

func (d *Daemon) serveHTTP(ctx context.Context, l crsettings.Listener, h http.Handler) (*http.Server, error) {
	config, err := d.listenerTLS(l)
	if err != nil {
		return nil, err
	}
	listener, err := d.Listen(l.Address)
	if err != nil {
		return nil, err
	}
	if config != nil {
		listener = tls.NewListener(listener, config)
	}
	server := crtransport.Server(h)
	d.tasks.Go(func() {
		if err := server.Serve(listener); err != nil && !errors.Is(err, http.ErrServerClosed) && ctx.Err() == nil {
			d.Log.Error("daemon: a listener failed", zap.Error(err))
		}
	})
	return server, nil
}

// listenerTLS returns nil for plain text.
func (d *Daemon) listenerTLS(l crsettings.Listener) (*tls.Config, error) {
	if l.PlainText {
		return nil, nil
	}
	return d.certificates(l).Server()
}

// certificates returns the source of a listener's TLS files, which says when
// replaced files can't be used.
func (d *Daemon) certificates(l crsettings.Listener) *crtls.Source {
	return &crtls.Source{Files: l.TLS, Warn: func(err error) {
		d.Log.Warn("daemon: changed TLS files can't be used; the earlier ones stay in force", zap.Error(err))
	}}
}
