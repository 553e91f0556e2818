package crforward_test

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"testing"
)

// TestSlowBody checks that a caller whose body takes too long is told so, and may come back.
func TestSlowBody(t *testing.T) {
	runFixture(t, func(r *fixture) {
		c, err := r.net.Dial("caller")(r.t.Context(), "tcp", entryAddr.String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		fmt.Fprint(c, "POST /book/ HTTP/1.1\r\nHost: desk.example\r\nId: q\r\nKey: k\r\nContent-Length: 2\r\n\r\nx")
		a, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.ReadAll(a.Body)
		if a.StatusCode != http.StatusRequestTimeout {
			t.Errorf("status %d, want 408", a.StatusCode)
		}
	}, good)
}
