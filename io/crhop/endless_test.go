package crhop_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"crocusrack/io/crhop"
)

// endless writes a start and then a filling until the connection ends, and
// reports how many bytes were taken.
func endless(start, filling string, taken chan<- int) script {
	return func(_ *testing.T, c net.Conn, next func() (*http.Request, error)) {
		sum := 0
		defer func() { taken <- sum }()
		if _, err := next(); err != nil {
			return
		}
		n, err := io.WriteString(c, start)
		sum += n
		chunk := strings.Repeat(filling, 1+4096/len(filling))
		for err == nil && sum < 64<<20 {
			n, err = io.WriteString(c, chunk)
			sum += n
		}
	}
}

// TestEndlessHeads: an endpoint sends a head that never ends. The connection is
// reset after few bytes, and the request may have run.
func TestEndlessHeads(t *testing.T) {
	// maxTaken is the limit of a head and what the windows of a loopback
	// connection hold beside it.
	const maxTaken = 16 << 20
	for _, c := range []struct{ name, start, filling string }{
		{"status line", "HTTP/1.1 200 ", "x"},
		{"header line", "HTTP/1.1 200 OK\r\nA: ", "x"},
		{"header lines", "HTTP/1.1 200 OK\r\n", "A: b\r\n"},
		{"continued header line", "HTTP/1.1 200 OK\r\nA: b\r\n", " x\r\n"},
		{"interim answers", "", "HTTP/1.1 100 Continue\r\n\r\n"},
		{"interim answers with headers", "", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			taken := make(chan int, 1)
			e := serve(t, endless(c.start, c.filling, taken))
			_, err := send(t, &crhop.Client{}, e, "a", true)
			failure, ok := err.(*crhop.Error)
			if !ok || !failure.Sent {
				t.Errorf("got %v, want that the request may have run", err)
			}
			if n := <-taken; n > maxTaken {
				t.Errorf("%d bytes were taken", n)
			}
		})
	}
}

// TestInterimAnswers: a few interim answers before the final one are no fault.
func TestInterimAnswers(t *testing.T) {
	e := serve(t, answers(strings.Repeat("HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n", 3)+ok))
	client := &crhop.Client{}
	defer client.CloseIdle()
	if got, err := send(t, client, e, "a", false); err != nil || got != "ok" {
		t.Errorf("got %q and %v", got, err)
	}
}
