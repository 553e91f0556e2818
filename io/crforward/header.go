package crforward

import (
	"net/http"
	"strings"
)

// hopByHopHeaders lists the hop-by-hop headers, which concern one connection and are
// never passed on.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// EndToEnd returns a copy of a header without the hop-by-hop headers, including those
// that the Connection header names.
func EndToEnd(h http.Header) http.Header {
	out := h.Clone()
	for _, value := range h.Values("Connection") {
		for name := range strings.SplitSeq(value, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		out.Del(name)
	}
	return out
}

// copyHeader copies the end-to-end headers of an endpoint's answer to the caller's.
func copyHeader(to, from http.Header) {
	for name, values := range EndToEnd(from) {
		to[name] = values
	}
	if from.Get("Content-Type") == "" {
		// A nil value keeps net/http from guessing the content type.
		to["Content-Type"] = nil
	}
}

// bodyAllowed reports whether an answer to the method with the status may have a body.
func bodyAllowed(method string, status int) bool {
	return method != http.MethodHead && status >= 200 && status != http.StatusNoContent && status != http.StatusNotModified
}

// Target returns the path of a request as its caller sent it, by which its route is looked up, and
// the target that an endpoint gets: the path followed by the query. Nothing is decoded or
// cleaned, since an endpoint may do that in another way.
func Target(r *http.Request) (path, target string) {
	target = r.RequestURI
	if !strings.HasPrefix(target, "/") {
		// The target is absolute, or a form without a path.
		target = r.URL.RequestURI()
	}
	path, _, _ = strings.Cut(target, "?")
	return path, target
}
