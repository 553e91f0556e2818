package crforward

import (
	"errors"
	"io"
	"net/http"
	"os"
	"sync"
	"time"

	"crocusrack/core/crbackoff"
	"crocusrack/core/crmemory"
	iomemory "crocusrack/io/crmemory"
)

const (
	// maxHeapBody is the length up to which a body is read into the heap. Longer ones, and those
	// without a length, are read into segments.
	maxHeapBody = 64 << 10
	// roomTimeout is how long a body without a length may wait for room for its next segment.
	// By then a holder without progress has been ended, if there is one.
	roomTimeout      = 2 * time.Second
	roomPollInterval = 20 * time.Millisecond
	// progressShare is the part of a body that counts as progress, and progressBytes that of one
	// without a length. A body that is read within bodyTimeout moves several times as fast; one
	// that trickles mustn't count as making progress.
	progressShare = 64
	progressBytes = 16 << 10
)

// body is the body of a caller's request. It is kept for further attempts until it is dropped.
// It is safe for concurrent use once it was read.
type body struct {
	parts [][]byte
	// pool is where the parts come from. It is nil if they are in the heap.
	pool *iomemory.Pool
	// holder accounts for reserved bytes. Own is true if it is for this body alone.
	holder   *crmemory.Holder
	own      bool
	reserved int64

	mu sync.Mutex
	// senders counts the attempts that still read the parts.
	senders int
	dropped bool
}

// acquire returns the parts, which stay valid until release is called. It returns false if the
// body was dropped.
func (b *body) acquire() ([][]byte, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.dropped {
		return nil, false
	}
	b.senders++
	return b.parts, true
}

func (b *body) release() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.senders--
	b.freeUnused()
}

// drop gives up the body: no further attempt can be made. Its memory is returned once no attempt
// reads it.
func (b *body) drop() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.dropped = true
	b.freeUnused()
}

// available reports whether the body can still be sent.
func (b *body) available() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.dropped
}

func (b *body) freeUnused() {
	if !b.dropped || b.senders > 0 {
		return
	}
	if b.pool != nil {
		for _, s := range b.parts {
			b.pool.Put(s[:iomemory.SegmentBytes])
		}
	}
	b.parts = nil
	b.holder.ShrinkKind(crmemory.Body, b.reserved)
	b.reserved = 0
	if b.own {
		b.holder.Close()
	}
}

// grow adds an empty segment, for which memory was reserved.
func (b *body) grow() error {
	s, err := b.pool.Get()
	if err == nil {
		b.parts = append(b.parts, s[:0])
	}
	return err
}

// read reads from r until an error, which is nil at the end of the body. The function reserve
// is called before each segment beyond those that are reserved.
func (b *body) read(r io.Reader, length int64, reserve func() error) error {
	if b.pool == nil {
		b.parts = [][]byte{make([]byte, 0, length)}
	}
	step := length / progressShare
	if length < 0 {
		step = progressBytes
	}
	progress := int64(0)
	var beyond [1]byte
	for {
		last := len(b.parts) - 1
		free := beyond[:]
		switch {
		case last >= 0 && len(b.parts[last]) < cap(b.parts[last]):
			free = b.parts[last][len(b.parts[last]):cap(b.parts[last])]
		case b.pool != nil && (length < 0 || int64(len(b.parts))*iomemory.SegmentBytes < length):
			if int64(len(b.parts)+1)*iomemory.SegmentBytes > b.reserved {
				if err := reserve(); err != nil {
					return err
				}
			}
			if err := b.grow(); err != nil {
				return err
			}
			continue
		}
		// At the end of a body of known length, a read finds that nothing is beyond it.
		n, err := r.Read(free)
		if n > 0 && last >= 0 {
			b.parts[last] = b.parts[last][:len(b.parts[last])+n]
			if progress += int64(n); progress >= step {
				progress = 0
				b.holder.Moved(time.Now())
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// readBody reads the request's body up to the size limit of the routing. It returns
// false after it has answered a request whose body is too large or incomplete, or finds no
// memory.
func (x *exchange) readBody() bool {
	limit, length := x.table.Limits.BodyBytes, x.incoming.ContentLength
	if limit > 0 && length > limit {
		x.writer.Header().Set("Connection", "close")
		x.fail(http.StatusRequestEntityTooLarge, "body-too-large", nil)
		return false
	}
	if length == 0 {
		return true
	}
	x.beginReading()
	if !x.reserveBody(length) {
		x.endReading()
		x.refuseForMemory()
		return false
	}
	reader := io.Reader(x.incoming.Body)
	if limit > 0 {
		reader = http.MaxBytesReader(x.writer, x.incoming.Body, limit)
	}
	err := x.body.read(reader, length, x.awaitRoom)
	ended := x.endReading()
	var tooLarge *http.MaxBytesError
	switch {
	case ended || errors.Is(err, errNoMemory):
		x.refuseForMemory()
		return false
	case errors.As(err, &tooLarge):
		x.fail(http.StatusRequestEntityTooLarge, "body-too-large", err)
		return false
	case errors.Is(err, os.ErrDeadlineExceeded):
		x.writer.Header().Set("Connection", "close")
		x.fail(http.StatusRequestTimeout, "body-too-slow", err)
		return false
	case err != nil:
		x.writer.Header().Set("Connection", "close")
		x.fail(http.StatusBadRequest, "body-incomplete", err)
		return false
	}
	return true
}

// reserveBody reserves the memory of a body of the given length, or of the first segment if the
// length is negative. It returns false if there is no room.
func (x *exchange) reserveBody(length int64) bool {
	b, now := &x.body, time.Now()
	if length >= 0 && length <= maxHeapBody {
		b.holder, b.reserved = x.holder, length
		x.holder.Moved(now)
	} else {
		segments := max(1, (length+iomemory.SegmentBytes-1)/iomemory.SegmentBytes)
		b.pool, b.reserved, b.own = &x.Segments, segments*iomemory.SegmentBytes, true
		b.holder = x.Budget.Open(now, x.endBody)
	}
	if !b.holder.GrowKind(now, crmemory.Body, b.reserved) {
		b.reserved = 0
		return false
	}
	return true
}

// awaitRoom reserves another segment for a body without a length, and waits for room if there
// is none.
func (x *exchange) awaitRoom() error {
	for start := time.Now(); ; {
		now := time.Now()
		if x.body.holder.GrowKind(now, crmemory.Body, iomemory.SegmentBytes) {
			x.body.reserved += iomemory.SegmentBytes
			return nil
		}
		if now.Sub(start) > roomTimeout || x.memoryEnded() {
			return errNoMemory
		}
		if err := crbackoff.Sleep(x.incoming.Context(), roomPollInterval); err != nil {
			return err
		}
	}
}
