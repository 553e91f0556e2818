package crhop_test

import (
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"crocusrack/io/crhop"
	"crocusrack/stand/crnet"
)

// TestCloseDuringReadIsNoRace closes an answer whose end another goroutine has just read.
func TestCloseDuringReadIsNoRace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var p crnet.Pair
		p.Start(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
			w.Header().Set("Id", q.Header.Get("Id"))
			_, _ = io.WriteString(w, "ok")
		}))
		defer p.Stop()
		client := &crhop.Client{Dial: p.Dial("caller")}
		defer client.CloseIdle()
		answer, err := client.Send(t.Context(), crhop.Endpoint{Key: 1, Address: crnet.ServerAddress}, &crhop.Request{
			Method: http.MethodGet, Target: "/", Host: "desk.example", Header: http.Header{"Id": {"a"}},
			Echoed: func(_ int, h http.Header, _ bool) bool { return h.Get("Id") == "a" },
		})
		if err != nil {
			t.Fatal(err)
		}
		go func() { _, _ = io.ReadAll(answer.Body) }()
		time.Sleep(time.Second)
		answer.Close()
	})
}
