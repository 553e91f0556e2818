package crforward_test

import (
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"
)

// TestShortageOfDescriptorsIsNoFaultOfEndpoints sends requests while this process can open no
// more connections. The endpoints must be in use as soon as it can.
func TestShortageOfDescriptorsIsNoFaultOfEndpoints(t *testing.T) {
	runFixture(t, func(r *fixture) {
		r.dialing = func() error { return &shortage }
		var callers sync.WaitGroup
		for range 8 {
			callers.Go(func() {
				if got, _ := r.send(r.t.Context(), "/book/", ""); got.Status != http.StatusServiceUnavailable {
					t.Errorf("status %d, want 503", got.Status)
				}
			})
		}
		callers.Wait()
		r.dialing = nil
		for range 4 {
			if got, _ := r.send(r.t.Context(), "/book/", ""); got.Status != http.StatusOK {
				t.Errorf("after the shortage: %+v", got)
			}
		}
		if n := r.forwarder.Metrics.Ejected.Value(); n > 0 {
			t.Errorf("%d endpoints were ejected", n)
		}
		time.Sleep(time.Second)
	}, good, good, good)
}

var shortage = net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("socket", syscall.EMFILE)}
