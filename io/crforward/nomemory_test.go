package crforward_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// TestLackOfMemoryIsNoFaultOfEndpoints sends events that don't fit in this instance's memory.
func TestLackOfMemoryIsNoFaultOfEndpoints(t *testing.T) {
	long := func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprintf(w, "id: 1\ndata: %s\n\n", strings.Repeat("x", 60_000))
	}
	runFixture(t, func(r *fixture) {
		r.forwarder.Memory.Limit = 1
		var callers sync.WaitGroup
		for range 8 {
			callers.Go(func() { r.send(r.t.Context(), "/reply/", "") })
		}
		callers.Wait()
		if n := r.forwarder.Metrics.Ejected.Value(); n > 0 {
			t.Errorf("%d endpoints were ejected", n)
		}
		time.Sleep(time.Second)
	}, long, long)
}

// TestFailureThatDoesNotFitIsPassedOn sends failures that don't fit in this instance's memory.
func TestFailureThatDoesNotFitIsPassedOn(t *testing.T) {
	long := func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusInternalServerError)
		fmt.Fprint(w, strings.Repeat("x", 60_000))
	}
	runFixture(t, func(r *fixture) {
		r.forwarder.Memory.Limit = 1
		got, _ := r.send(r.t.Context(), "/book/", "")
		if got.Status != 500 || len(got.Body) != 60_000 {
			t.Errorf("status %d, %d bytes", got.Status, len(got.Body))
		}
		if n := r.forwarder.Metrics.Ejected.Value(); n > 0 {
			t.Errorf("%d endpoints were ejected", n)
		}
		time.Sleep(time.Second)
	}, long, long)
}
