package crforward_test

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestSmuggledRequests sends requests whose end two HTTP parsers may find at different
// places. Each must run as at most one request, and a request hidden inside its body must
// never run.
func TestSmuggledRequests(t *testing.T) {
	const (
		head   = "POST /book/ HTTP/1.1\r\nHost: desk.example\r\nId: q\r\nKey: k\r\n"
		inside = "POST /book/ HTTP/1.1\r\nHost: desk.example\r\nId: smuggled\r\nKey: k\r\nContent-Length: 0\r\n\r\n"
	)
	for _, c := range []struct {
		name, request string
		want          []string
	}{
		{"a request as the body", head + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(inside)) + inside, []string{"e1 q"}},
		{"a request as the only chunk", head + fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(inside), inside), []string{"e1 q"}},
		{"a length and chunks", head + fmt.Sprintf("Content-Length: %d\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 5+len(inside)) + inside, nil},
		{"chunks and a length", head + fmt.Sprintf("Transfer-Encoding: chunked\r\nContent-Length: %d\r\n\r\n0\r\n\r\n", 5+len(inside)) + inside, nil},
		{"two lengths", head + fmt.Sprintf("Content-Length: 0\r\nContent-Length: %d\r\n\r\n", len(inside)) + inside, nil},
		{"a length that is a list", head + fmt.Sprintf("Content-Length: 0, %d\r\n\r\n", len(inside)) + inside, nil},
		{"a signed length", head + fmt.Sprintf("Content-Length: +%d\r\n\r\n", len(inside)) + inside, nil},
		{"an unknown coding", head + "Transfer-Encoding: chunked, identity\r\n\r\n0\r\n\r\n" + inside, nil},
		{"a coding behind a space", head + "Transfer-Encoding : chunked\r\n\r\n0\r\n\r\n" + inside, nil},
		{"a folded header", head + "Note: a\r\n b\r\nContent-Length: 0\r\n\r\n", nil},
		{"a chunk with a bad size", head + "Transfer-Encoding: chunked\r\n\r\n0x1\r\nx\r\n0\r\n\r\n" + inside, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			runFixture(t, func(r *fixture) {
				conn, err := r.net.Dial("caller")(r.t.Context(), "tcp", entryAddr.String())
				if err != nil {
					t.Fatal(err)
				}
				defer conn.Close()
				if _, err := io.WriteString(conn, c.request); err != nil {
					t.Fatal(err)
				}
				answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
				if err == nil {
					answer.Body.Close()
				}
				time.Sleep(time.Second)
				r.mu.Lock()
				defer r.mu.Unlock()
				for _, a := range r.arrivals {
					if strings.Contains(a, "smuggled") {
						t.Errorf("the request inside another one was run: %v", r.arrivals)
					}
				}
				if c.want != nil {
					if diff := cmp.Diff(c.want, r.arrivals); diff != "" {
						t.Errorf("arrivals differ (-want +got):\n%s", diff)
					}
				}
			}, good)
		})
	}
}
