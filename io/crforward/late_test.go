package crforward_test

import (
	"net/http"
	"strings"
	"testing"
	"time"
)

// TestLongAnswerIsNotCutBeforeItsDeadline checks a long answer that has begun and whose end
// comes just before the caller's deadline.
func TestLongAnswerIsNotCutBeforeItsDeadline(t *testing.T) {
	const part, parts = 200_000, 2
	late := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "400000")
		for i := range parts {
			_, _ = w.Write([]byte(strings.Repeat("x", part)))
			_ = http.NewResponseController(w).Flush()
			if i == 0 {
				time.Sleep(980 * time.Millisecond)
			}
		}
	}
	for _, path := range []string{"/read/", "/book/"} {
		runFixture(t, func(r *fixture) {
			got, _ := r.send(r.t.Context(), path, "", "Deadline", "1s")
			if got.Status != 200 || got.Cut || len(got.Body) != part*parts {
				t.Errorf("%s: status %d, %d bytes, cut %t", path, got.Status, len(got.Body), got.Cut)
			}
			// Wait until the endpoint's handler has ended.
			time.Sleep(time.Second)
		}, late)
	}
}
