package crforward_test

import (
	"bufio"
	"net/http"
	"strings"
	"testing"

	"crocusrack/io/crforward"
)

// TestRouteIsThatOfThePathSentOn guards against requests that take the route of a path other than
// the one that the endpoint gets.
func TestRouteIsThatOfThePathSentOn(t *testing.T) {
	for _, c := range []struct {
		target string
		want   int
		// got is the target that the endpoint gets.
		got string
	}{
		{"/book/x", 200, "/book/x"},
		{"/book/x?a=/read/", 200, "/book/x?a=/read/"},
		{"/book/%2f..%2Fread/x", 200, "/book/%2f..%2Fread/x"},
		{"/book/a%20b?", 200, "/book/a%20b?"},
		{"/book//x", 200, "/book//x"},
		{"/book/../read/x", 200, "/book/../read/x"},
		{"/book%2Fx", 404, ""},
		{"/book%2fx", 404, ""},
		{"/%62ook/x", 404, ""},
		{"//book/x", 404, ""},
		{"/./book/x", 404, ""},
		{"/BOOK/x", 404, ""},
		{"/book", 404, ""},
		{"http://desk.example/book/x?a", 200, "/book/x?a"},
		{"http://desk.example/book%2Fx", 404, ""},
		{"http://desk.example", 404, ""},
		{"http://other.example/book/x", 404, ""},
	} {
		got := ""
		runFixture(t, func(r *fixture) {
			conn, err := r.net.Dial("caller")(r.t.Context(), "tcp", entryAddr.String())
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			text := "POST " + c.target + " HTTP/1.1\r\nHost: desk.example\r\nId: q\r\nKey: k\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
			if _, err := conn.Write([]byte(text)); err != nil {
				t.Fatal(err)
			}
			a, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				t.Fatalf("%s: %v", c.target, err)
			}
			a.Body.Close()
			if a.StatusCode != c.want || got != c.got {
				t.Errorf("%s: status %d, and the endpoint got %q; want %d and %q", c.target, a.StatusCode, got, c.want, c.got)
			}
		}, func(w http.ResponseWriter, q *http.Request) {
			got = q.RequestURI
			good(w, q)
		})
	}
}

// FuzzTarget checks that the path by which a route is looked up begins the target that an endpoint
// gets, followed by nothing or the query.
func FuzzTarget(f *testing.F) {
	for _, target := range []string{"/book/x?a", "/book%2Fx", "//a/../b", "http://desk.example/a%2Fb?c", "http://desk.example", "*", "/a?", "/%zz"} {
		f.Add(target)
	}
	f.Fuzz(func(t *testing.T, target string) {
		r, err := http.ReadRequest(bufio.NewReader(strings.NewReader("GET " + target + " HTTP/1.1\r\nHost: desk.example\r\n\r\n")))
		if err != nil {
			return
		}
		path, sent := crforward.Target(r)
		if rest, ok := strings.CutPrefix(sent, path); !ok || rest != "" && rest[0] != '?' {
			t.Errorf("%q: the route is that of %q, and %q is sent", target, path, sent)
		}
	})
}
