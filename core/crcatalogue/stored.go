package crcatalogue

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	pb "crocusrack/schema/crcatalogue"
)

// Names of objects in the store.
const (
	// HeadName is the name of the head, the object that makes a version current.
	HeadName = "catalogue-head"
	// ChunkPrefix is the prefix of the names of chunks, the objects that hold
	// the records. The hash of the content follows.
	ChunkPrefix = "catalogue-chunk-"
	// ChangePrefix is the prefix of the names of the objects that hold the
	// history. The version in decimal follows.
	ChangePrefix = "catalogue-change-"
)

const (
	// targetChunkBytes is the mean chunk size that isn't exceeded when the number of
	// chunks is chosen anew, unless more than maxChunks would be needed.
	targetChunkBytes = 64 << 10
	// maxMeanChunkBytes and minMeanChunkBytes are the bounds of the mean chunk size
	// outside of which the number of chunks is chosen anew.
	maxMeanChunkBytes = 2 * targetChunkBytes
	minMeanChunkBytes = targetChunkBytes / 4
	// maxChunks is the maximum number of chunks that a head may name.
	maxChunks = 4096
)

// ChangeName returns the name of the object that holds the change of a version.
func ChangeName(version uint64) string { return fmt.Sprintf("%s%d", ChangePrefix, version) }

// storedChunk is an encoded chunk and its object name.
type storedChunk struct {
	name  string
	value []byte
}

// split encodes the records of a set into chunks. The hash of a record's key
// selects its chunk. The number of chunks stays at previousCount, that of the
// previous head, while the mean size is within bounds, so that a change of one
// record changes one chunk. A previousCount of zero means that there is no
// previous head.
func (s *Set) split(previousCount int) []storedChunk {
	list := s.sorted()
	size := 0
	for _, r := range list {
		size += proto.Size(r)
	}
	parts := make([]pb.Chunk, chunkCount(size, previousCount))
	for _, r := range list {
		p := &parts[xxhash.Sum64String(r.GetKey())%uint64(len(parts))]
		p.Records = append(p.Records, r)
	}
	chunks := make([]storedChunk, len(parts))
	for i := range parts {
		value := encode(&parts[i])
		chunks[i] = storedChunk{name: chunkName(value), value: value}
	}
	return chunks
}

// chunkName returns the object name of a chunk, which contains the hash of its
// content.
func chunkName(value []byte) string {
	sum := sha256.Sum256(value)
	return ChunkPrefix + hex.EncodeToString(sum[:16])
}

// chunkCount returns the number of chunks for records of the given total size in
// bytes; previousCount is the number of chunks of the previous head, or zero.
func chunkCount(size, previousCount int) int {
	if previousCount > 0 && size <= previousCount*maxMeanChunkBytes && (previousCount == 1 || size >= previousCount*minMeanChunkBytes) {
		return previousCount
	}
	count := 1
	for count*targetChunkBytes < size && count < maxChunks {
		count *= 2
	}
	return count
}

// DecodeHead decodes a stored head and checks its version and number of chunks.
func DecodeHead(value []byte) (*pb.Head, error) {
	h := &pb.Head{}
	if err := proto.Unmarshal(value, h); err != nil {
		return nil, fmt.Errorf("%s: %w", HeadName, err)
	}
	if h.GetVersion() == 0 || h.GetVersion() > maxVersion {
		return nil, fmt.Errorf("%s: version %d is out of range", HeadName, h.GetVersion())
	}
	if n := len(h.GetChunks()); n == 0 || n > maxChunks {
		return nil, fmt.Errorf("%s: names %d chunks, 1 to %d are allowed", HeadName, n, maxChunks)
	}
	return h, nil
}

// DecodeChunk decodes a stored chunk. It checks that the content matches the hash
// in the name and that every record is valid.
func DecodeChunk(name string, value []byte) ([]*pb.Record, error) {
	if want := chunkName(value); want != name {
		return nil, fmt.Errorf("%s: the content is that of %s", name, want)
	}
	c := &pb.Chunk{}
	if err := proto.Unmarshal(value, c); err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	for i, r := range c.GetRecords() {
		if err := checkRecord(r); err != nil {
			return nil, fmt.Errorf("%s: records[%d]: %w", name, i, err)
		}
	}
	return c.GetRecords(), nil
}

// DecodeChange decodes a stored change and checks that every record is valid.
func DecodeChange(value []byte) (*pb.Change, error) {
	c := &pb.Change{}
	if err := proto.Unmarshal(value, c); err != nil {
		return nil, fmt.Errorf("change: %w", err)
	}
	for i, r := range c.GetRecords() {
		if err := checkRecord(r); err != nil {
			return nil, fmt.Errorf("change %d: records[%d]: %w", c.GetVersion(), i, err)
		}
	}
	return c, nil
}

// assemble returns the set of a head and the records of its chunks. It returns an
// error if a record is invalid or the hash differs from that in the head.
func assemble(h *pb.Head, list []*pb.Record) (*Set, error) {
	d := Delta{Version: h.GetVersion(), Hash: h.GetHash(), Records: list, Whole: true}
	set, outcome := Empty().Apply(d)
	if outcome != Applied {
		return nil, fmt.Errorf("%s: version %d: the records don't have the hash of the head", HeadName, h.GetVersion())
	}
	return set, nil
}

// headOf returns the head that makes the set current. Author and time are those of
// the change.
func (s *Set) headOf(chunks []storedChunk, change *pb.Change, writeID string) *pb.Head {
	h := &pb.Head{Version: s.version, Hash: s.hash, WriteId: writeID, Author: change.GetAuthor(), At: change.GetAt()}
	for _, c := range chunks {
		h.Chunks = append(h.Chunks, c.name)
	}
	return h
}

// changeOf reconstructs, from the records of the set, the change that made h the
// head. The note of the change can't be recovered and is left empty.
func (s *Set) changeOf(h *pb.Head) *pb.Change {
	c := &pb.Change{Version: s.version, Author: h.GetAuthor(), At: h.GetAt()}
	c.Records = s.Since(s.version - 1).Records
	return c
}
