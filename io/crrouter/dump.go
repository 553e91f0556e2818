package crrouter

import (
	"encoding/json"
	"net/http"
	"time"
)

// registerDump adds the dump of this process's state to a server for operators
// on the instance's own network.
func (r *Router) registerDump(mux *http.ServeMux) {
	mux.HandleFunc("GET /debug/state", func(w http.ResponseWriter, _ *http.Request) {
		data, err := json.MarshalIndent(r.state.Dump(time.Now()), "", "  ")
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		// Who has asked and left asks again.
		_, _ = w.Write(data)
	})
}
