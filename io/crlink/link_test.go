package crlink_test

import (
	"compress/gzip"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"crocusrack/core/crgrant"
	"crocusrack/core/crliveness"
	"crocusrack/io/crlink"
	pb "crocusrack/schema/crrouter"
)

// newLink returns a Link on loopback that uses one port number for datagrams and
// snapshots, and a channel of the names of the instances whose snapshots it adopted.
func newLink(t *testing.T, name string, run uint64) (*crlink.Link, chan string) {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().(*net.TCPAddr).AddrPort()
	packets, err := net.ListenPacket("udp4", address.String())
	if err != nil {
		t.Fatal(err)
	}
	adopted := make(chan string, 9)
	begin := time.Now()
	l := &crlink.Link{
		State: &crgrant.State{
			Self:    crliveness.Instance{Name: name, FailureDomain: "noord-a", Front: address, Peer: address},
			Run:     run,
			Retries: crgrant.RetryLimit{Window: time.Second},
			Elapsed: func() time.Duration { return time.Since(begin) },
		},
		Conn: packets, HTTP: http.DefaultClient, Log: zap.NewNop(),
		Adopted: func(from string) { adopted <- from },
	}
	mux := http.NewServeMux()
	l.Register(mux)
	server := &httptest.Server{Listener: listener, Config: &http.Server{Handler: mux}}
	server.Start()
	t.Cleanup(server.Close)
	return l, adopted
}

// TestNewerVersionIsFetched starts an instance that knows only a seed. It must find the
// seed and fetch the newer routing version from it.
func TestNewerVersionIsFetched(t *testing.T) {
	a, _ := newLink(t, "instance-1", 1)
	b, adopted := newLink(t, "instance-2", 2)
	a.State.SetRouting(&pb.Routing{Version: 7})
	a.SetSeeds(nil)
	b.SetSeeds([]netip.AddrPort{a.State.Self.Peer})
	ctx, cancel := context.WithCancel(t.Context())
	var links sync.WaitGroup
	links.Go(func() { a.Run(ctx) })
	links.Go(func() { b.Run(ctx) })
	if from := <-adopted; from != "instance-1" {
		t.Errorf("adopted from %s", from)
	}
	if got := b.State.Table().Version; got != 7 {
		t.Errorf("version %d, want 7", got)
	}
	cancel()
	links.Wait()
}

func TestSnapshotRefusesBadNumbers(t *testing.T) {
	a, _ := newLink(t, "instance-1", 1)
	defer a.Conn.Close()
	mux := http.NewServeMux()
	a.Register(mux)
	w := httptest.NewRecorder()
	mux.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/snapshot?routing=x&endpoints=0&outs=0", nil))
	if w.Code != http.StatusBadRequest {
		t.Errorf("status %d, want 400", w.Code)
	}
}

// TestSnapshotFollowsVersions checks that a cached snapshot isn't served when something
// is newer or when the request starts from other versions.
func TestSnapshotFollowsVersions(t *testing.T) {
	a, _ := newLink(t, "instance-1", 1)
	defer a.Conn.Close()
	mux := http.NewServeMux()
	a.Register(mux)
	get := func(have string) uint64 {
		w := httptest.NewRecorder()
		mux.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/snapshot?endpoints=0&outs=0&routing="+have, nil))
		z, err := gzip.NewReader(w.Body)
		if err != nil {
			t.Fatal(err)
		}
		data, err := io.ReadAll(z)
		if err != nil {
			t.Fatal(err)
		}
		m := &pb.Snapshot{}
		if err := proto.Unmarshal(data, m); err != nil {
			t.Fatal(err)
		}
		return m.GetRouting().GetVersion()
	}
	for version := uint64(1); version < 4; version++ {
		a.State.SetRouting(&pb.Routing{Version: version})
		for range 2 {
			if got := get("0"); got != version {
				t.Errorf("version %d, want %d", got, version)
			}
		}
		if got := get("9"); got != 0 {
			t.Errorf("an instance that has more got version %d", got)
		}
	}
}
