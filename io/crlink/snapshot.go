package crlink

import (
	"bytes"
	"compress/gzip"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"
)

// versions are those of the routing, the endpoints and the failure domains out of
// service.
type versions [3]uint64

// packed is the last snapshot as it was served: many instances lack the same when
// something changes, and packing it takes more than all else of serving it.
type packed struct {
	mu         sync.Mutex
	from, have versions
	at         time.Time
	data       []byte
}

// packedFor is how long it is served again: it says how much longer endpoints are
// cold, as of its making.
const packedFor = 250 * time.Millisecond

// Register adds the snapshot to a server for peers.
func (l *Link) Register(mux *http.ServeMux) {
	mux.HandleFunc("GET "+snapshotPath, func(w http.ResponseWriter, r *http.Request) {
		var from versions
		for i, name := range []string{"routing", "endpoints", "outs"} {
			n, err := strconv.ParseUint(r.FormValue(name), 10, 64)
			if err != nil {
				http.Error(w, fmt.Sprintf("%s is not a number: %q", name, r.FormValue(name)), http.StatusBadRequest)
				return
			}
			from[i] = n
		}
		data, err := l.snapshot(from, r.FormValue("contexts") == "true")
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		// Many instances fetch a new version from few, over links that may be
		// narrow.
		w.Header().Set("Content-Type", "application/gzip")
		if _, err := w.Write(data); err != nil {
			l.Log.Debug("link: a snapshot wasn't taken", zap.Error(err))
		}
	})
}

// snapshot returns what is newer than the given versions, packed.
func (l *Link) snapshot(from versions, contexts bool) ([]byte, error) {
	if contexts {
		return l.pack(from, true)
	}
	p := &l.packed
	p.mu.Lock()
	defer p.mu.Unlock()
	var have versions
	have[0], have[1], have[2] = l.State.Have()
	if p.data != nil && p.from == from && p.have == have && time.Since(p.at) < packedFor {
		return p.data, nil
	}
	data, err := l.pack(from, false)
	if err != nil {
		return nil, err
	}
	p.from, p.have, p.at, p.data = from, have, time.Now(), data
	return data, nil
}

func (l *Link) pack(from versions, contexts bool) ([]byte, error) {
	now := time.Now()
	m := l.State.Snapshot(now, from[0], from[1], from[2])
	if contexts {
		m.Contexts = l.State.Contexts(now)
	}
	data, err := proto.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	var b bytes.Buffer
	z := gzip.NewWriter(&b)
	_, err = z.Write(data)
	if err = errors.Join(err, z.Close()); err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	return b.Bytes(), nil
}
