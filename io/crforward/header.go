package crforward

import (
	"net/http"
	"strconv"
	"strings"
)

// connectionHeaders concern one connection and are never passed on.
var connectionHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// EndToEnd returns a copy of a header without what concerns one connection.
func EndToEnd(h http.Header) http.Header {
	out := h.Clone()
	for _, value := range h.Values("Connection") {
		for name := range strings.SplitSeq(value, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range connectionHeaders {
		out.Del(name)
	}
	return out
}

// copyHeader copies an endpoint's header for the caller.
func copyHeader(to, from http.Header) {
	for name, values := range EndToEnd(from) {
		to[name] = values
	}
	if from.Get("Content-Type") == "" {
		// A nil value keeps the server from guessing one.
		to["Content-Type"] = nil
	}
}

func lengthOf(b []byte) string { return strconv.Itoa(len(b)) }

// bodyAllowed reports whether an answer has a body.
func bodyAllowed(method string, status int) bool {
	return method != http.MethodHead && status >= 200 && status != http.StatusNoContent && status != http.StatusNotModified
}
