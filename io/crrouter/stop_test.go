package crrouter

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"crocusrack/stand/crnet"
)

// TestRequestReadAsServerStopsIsAnswered sends requests on kept connections around the end
// of a server. Each that reached the handler must be answered completely.
func TestRequestReadAsServerStopsIsAnswered(t *testing.T) {
	for offset := -20 * time.Millisecond; offset <= 20*time.Millisecond; offset += time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			network := &crnet.Network{Delay: func(_, _ string) time.Duration { return 4 * time.Millisecond }}
			address := netip.MustParseAddrPort("10.0.0.1:80")
			network.AddHost("caller", "callers", netip.MustParseAddr("10.9.0.1"))
			network.AddHost("entry", "noord-a", address.Addr())
			handled := 0
			var inFlight atomic.Int64
			server, err := network.Serve(address, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				inFlight.Add(1)
				defer inFlight.Add(-1)
				handled++
				time.Sleep(50 * time.Millisecond)
				_, _ = io.WriteString(w, "whole")
			}))
			if err != nil {
				t.Fatal(err)
			}
			defer server.Close()
			client := &http.Client{Transport: &http.Transport{DialContext: network.Dial("caller")}}
			defer client.CloseIdleConnections()
			post := func() string {
				a, err := client.Post("http://"+address.String(), "text/plain", strings.NewReader("x"))
				if err != nil {
					return ""
				}
				defer a.Body.Close()
				body, _ := io.ReadAll(a.Body)
				return string(body)
			}
			post()
			stop := time.Now().Add(time.Second)
			var stopping sync.WaitGroup
			defer stopping.Wait()
			stopping.Go(func() {
				time.Sleep(time.Until(stop))
				ctx, cancel := context.WithDeadline(t.Context(), stop.Add(time.Second))
				defer cancel()
				stopServing(ctx, server, func() int { return int(inFlight.Load()) })
			})
			time.Sleep(time.Until(stop) + offset)
			if got := post(); got != "whole" && handled > 1 {
				t.Errorf("%s from the stop: the handler ran and the caller got %q", offset, got)
			}
		})
	}
}

// TestStopEndsWithConnectionsWithoutRequest checks that a connection on which no request
// arrives doesn't hold up the stop.
func TestStopEndsWithConnectionsWithoutRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := &crnet.Network{Delay: func(_, _ string) time.Duration { return 4 * time.Millisecond }}
		address := netip.MustParseAddrPort("10.0.0.1:80")
		network.AddHost("caller", "callers", netip.MustParseAddr("10.9.0.1"))
		network.AddHost("entry", "noord-a", address.Addr())
		server, err := network.Serve(address, http.NotFoundHandler())
		if err != nil {
			t.Fatal(err)
		}
		defer server.Close()
		c, err := network.Dial("caller")(t.Context(), "tcp", address.String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		time.Sleep(time.Second)
		ctx, cancel := context.WithTimeout(t.Context(), 7*time.Second)
		defer cancel()
		begin := time.Now()
		stopServing(ctx, server, func() int { return 0 })
		if took := time.Since(begin); took > time.Second {
			t.Errorf("the stop took %s", took)
		}
	})
}

// TestLongStopRefusesInTime checks that a stop of any length refuses requests that may outlast
// it within the three seconds after which callers expect their requests to be answered.
func TestLongStopRefusesInTime(t *testing.T) {
	for limit, want := range map[time.Duration]time.Duration{
		2 * time.Second:  600 * time.Millisecond,
		8 * time.Second:  2400 * time.Millisecond,
		20 * time.Second: 2500 * time.Millisecond,
		time.Minute:      2500 * time.Millisecond,
	} {
		if got := closingDelay(limit); got != want {
			t.Errorf("a stop of %s refuses after %s, want %s", limit, got, want)
		}
	}
}
