package crhop_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"crocusrack/io/crhop"
)

// endless returns a handler that writes start and then filler repeatedly until the
// connection ends, and sends the number of bytes written to taken.
func endless(start, filler string, taken chan<- int) connHandler {
	return func(_ *testing.T, c net.Conn, next func() (*http.Request, error)) {
		sum := 0
		defer func() { taken <- sum }()
		if _, err := next(); err != nil {
			return
		}
		n, err := io.WriteString(c, start)
		sum += n
		chunk := strings.Repeat(filler, 1+4096/len(filler))
		for err == nil && sum < 64<<20 {
			n, err = io.WriteString(c, chunk)
			sum += n
		}
	}
}

// TestEndlessHeads checks an endpoint that sends an answer's head without end. The
// connection must be reset after a bounded number of bytes, and the error must say that
// the request may have run.
func TestEndlessHeads(t *testing.T) {
	// maxTaken allows for the limit of a head and the windows of a loopback connection.
	const maxTaken = 16 << 20
	for _, c := range []struct{ name, start, filler string }{
		{"status line", "HTTP/1.1 200 ", "x"},
		{"header line", "HTTP/1.1 200 OK\r\nA: ", "x"},
		{"header lines", "HTTP/1.1 200 OK\r\n", "A: b\r\n"},
		{"continued header line", "HTTP/1.1 200 OK\r\nA: b\r\n", " x\r\n"},
		{"interim answers", "", "HTTP/1.1 100 Continue\r\n\r\n"},
		{"interim answers with headers", "", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			taken := make(chan int, 1)
			e := serve(t, endless(c.start, c.filler, taken))
			_, err := send(t, &crhop.Client{}, e, "a", true)
			failure, ok := err.(*crhop.Error)
			if !ok || !failure.Sent {
				t.Errorf("got %v, want an Error with Sent", err)
			}
			if n := <-taken; n > maxTaken {
				t.Errorf("the client took %d bytes, want at most %d", n, maxTaken)
			}
		})
	}
}

// TestInterimAnswers checks that a few interim answers before the final one are
// accepted.
func TestInterimAnswers(t *testing.T) {
	e := serve(t, answers(strings.Repeat("HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n", 3)+ok))
	client := &crhop.Client{}
	defer client.CloseIdle()
	if got, err := send(t, client, e, "a", false); err != nil || got != "ok" {
		t.Errorf("got %q and %v, want ok without an error", got, err)
	}
}
