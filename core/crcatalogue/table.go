package crcatalogue

import (
	"iter"
	"maps"

	"github.com/cespare/xxhash/v2"

	pb "crocusrack/schema/crcatalogue"
)

// tableBuckets is the number of buckets of a table. A change of one record copies
// one bucket.
const tableBuckets = 256

// table is a copy-on-write hash map of records. Copies of a table share buckets, so
// that a change copies one bucket instead of all records.
type table struct {
	buckets []map[key]*pb.Record
	size    int
}

func newTable() table { return table{buckets: make([]map[key]*pb.Record, tableBuckets)} }

func bucket(k key) int { return int(xxhash.Sum64String(k.name) % tableBuckets) }

func (t table) get(k key) *pb.Record { return t.buckets[bucket(k)][k] }

// all iterates over all records, in no particular order.
func (t table) all() iter.Seq2[key, *pb.Record] {
	return func(yield func(key, *pb.Record) bool) {
		for _, b := range t.buckets {
			for k, r := range b {
				if !yield(k, r) {
					return
				}
			}
		}
	}
}

// editor modifies a copy of a table. It copies a bucket when it first writes to it.
type editor struct {
	table
	// copied marks the buckets that have been copied.
	copied [tableBuckets]bool
}

// edit returns an editor of a copy of t. The buckets are still shared.
func (t table) edit() *editor {
	return &editor{table: table{buckets: append([]map[key]*pb.Record(nil), t.buckets...), size: t.size}}
}

// writable returns the bucket of a key after copying it if it is still shared.
func (e *editor) writable(k key) map[key]*pb.Record {
	i := bucket(k)
	if !e.copied[i] {
		e.copied[i] = true
		e.buckets[i] = maps.Clone(e.buckets[i])
	}
	if e.buckets[i] == nil {
		e.buckets[i] = make(map[key]*pb.Record)
	}
	return e.buckets[i]
}

func (e *editor) put(k key, r *pb.Record) {
	b := e.writable(k)
	if _, known := b[k]; !known {
		e.size++
	}
	b[k] = r
}

func (e *editor) remove(k key) {
	b := e.writable(k)
	if _, known := b[k]; known {
		e.size--
	}
	delete(b, k)
}
