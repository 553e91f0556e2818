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

	"crocusrack/core/crgrant"
)

// snapshotCache holds the last snapshot in its encoded form. When something changes, many
// instances request the same snapshot, and encoding it costs more than the rest of
// serving it.
type snapshotCache struct {
	mu sync.Mutex
	// base holds the versions that the snapshot starts from, and current those that
	// this instance had when it was encoded.
	base, current crgrant.Versions
	created       time.Time
	data          []byte
}

// snapshotCacheLifetime is how long a cached snapshot is served. A snapshot contains
// how much longer each cold endpoint warms up, during which its request rate is limited.
// This time is counted from when the snapshot was encoded.
const snapshotCacheLifetime = 250 * time.Millisecond

// Register adds the handler that serves snapshots to the server for peers.
func (l *Link) Register(mux *http.ServeMux) {
	mux.HandleFunc("GET "+snapshotPath, func(w http.ResponseWriter, r *http.Request) {
		base, err := parseVersions(r)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		data, err := l.cachedSnapshot(base, r.FormValue("contexts") == "true")
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		// The snapshot is compressed because many instances fetch a new version from
		// a few, over links that may have little bandwidth.
		w.Header().Set("Content-Type", "application/gzip")
		if _, err := w.Write(data); err != nil {
			l.Log.Debug("link: can't send a snapshot", zap.Error(err))
		}
	})
}

// cachedSnapshot returns what is newer than the given versions, encoded. Only snapshots
// without contexts are cached.
func (l *Link) cachedSnapshot(base crgrant.Versions, contexts bool) ([]byte, error) {
	if contexts {
		return l.encodeSnapshot(base, true)
	}
	p := &l.cache
	p.mu.Lock()
	defer p.mu.Unlock()
	current := l.State.Versions()
	if p.data != nil && p.base == base && p.current == current && time.Since(p.created) < snapshotCacheLifetime {
		return p.data, nil
	}
	data, err := l.encodeSnapshot(base, false)
	if err != nil {
		return nil, err
	}
	p.base, p.current, p.created, p.data = base, current, time.Now(), data
	return data, nil
}

// encodeSnapshot encodes and compresses what is newer than the given versions.
func (l *Link) encodeSnapshot(base crgrant.Versions, contexts bool) ([]byte, error) {
	now := time.Now()
	m := l.State.Snapshot(now, base)
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

// versionsQuery returns the query by which an instance names the versions that it has.
func versionsQuery(v crgrant.Versions) string {
	query := fmt.Sprintf("routing=%d&endpoints=%d&outs=%d&rollouts=%d&endpoints-era=%d&outs-era=%d&rollouts-era=%d",
		v.Routing, v.Endpoints.Revision(), v.Outs.Revision(), v.Rollouts.Revision(), v.Endpoints.Era(), v.Outs.Era(), v.Rollouts.Era())
	if v.Endpoints.IsProvisional() {
		query += "&endpoints-provisional=1"
	}
	if v.Outs.IsProvisional() {
		query += "&outs-provisional=1"
	}
	return query
}

// parseVersions returns the versions that a query names. An instance of an earlier release
// knows no eras, and one of an earlier release still no roll-outs.
func parseVersions(r *http.Request) (crgrant.Versions, error) {
	numbers := make(map[string]uint64)
	for _, p := range []struct {
		name     string
		optional bool
	}{
		{"routing", false}, {"endpoints", false}, {"outs", false}, {"rollouts", true},
		{"endpoints-era", true}, {"outs-era", true}, {"rollouts-era", true},
		{"endpoints-provisional", true}, {"outs-provisional", true},
	} {
		text := r.FormValue(p.name)
		if text == "" && p.optional {
			continue
		}
		n, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			return crgrant.Versions{}, fmt.Errorf("%s is not a number: %q", p.name, text)
		}
		numbers[p.name] = n
	}
	position := func(name string) crgrant.Position {
		return crgrant.PositionOf(numbers[name+"-era"], numbers[name], numbers[name+"-provisional"] > 0)
	}
	return crgrant.Versions{
		Routing: numbers["routing"], Endpoints: position("endpoints"), Outs: position("outs"), Rollouts: position("rollouts"),
	}, nil
}
