package crrouter

import (
	"io"
	"net/http"
	"net/netip"
	"strings"
	"sync"
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
			server, err := network.Serve(address, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
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
				stopServing(server, stop.Add(time.Second))
			})
			time.Sleep(time.Until(stop) + offset)
			if got := post(); got != "whole" && handled > 1 {
				t.Errorf("%s from the stop: the handler ran and the caller got %q", offset, got)
			}
		})
	}
}
