// Package crstream cuts a stream of server-sent events into whole events and
// keeps the id of the last one, so that a stream that breaks can be resumed
// after it without a gap or a repeat.
package crstream

import (
	"bytes"
	"errors"
	"strconv"
)

// DefaultLimit is the largest event, in bytes, where none is set.
const DefaultLimit = 64 << 10

// ErrTooLong says that an event is longer than the limit.
var ErrTooLong = errors.New("an event of the stream is too long")

// Splitter collects bytes until an event is whole. Set the exported field before
// first use; the zero value is ready.
type Splitter struct {
	// Limit is the largest event that is kept, in bytes; DefaultLimit when zero.
	Limit int

	buffer []byte
	last   uint64
	any    bool
}

// Write takes bytes of the stream and returns those that end with a whole
// event; they are valid until the next call. What doesn't end yet is kept. The
// error is ErrTooLong when that is more than the limit; the whole events before
// it are returned all the same.
func (s *Splitter) Write(p []byte) ([]byte, error) {
	// The end of an event may begin in what was there before.
	from := max(0, len(s.buffer)-markLength+1)
	s.buffer = append(s.buffer, p...)
	var whole []byte
	if end := wholeEvents(s.buffer[from:]); end > 0 {
		whole = bytes.Clone(s.buffer[:from+end])
		s.buffer = append(s.buffer[:0], s.buffer[from+end:]...)
		s.note(whole)
	}
	limit := s.Limit
	if limit <= 0 {
		limit = DefaultLimit
	}
	if len(s.buffer) > limit {
		return whole, ErrTooLong
	}
	return whole, nil
}

// Rest returns the bytes after the last whole event and forgets them.
func (s *Splitter) Rest() []byte {
	rest := s.buffer
	s.buffer = nil
	return rest
}

// Len returns how many bytes are kept.
func (s *Splitter) Len() int { return len(s.buffer) }

// Last returns the id of the last whole event; false before the first one with
// an id.
func (s *Splitter) Last() (uint64, bool) { return s.last, s.any }

// SetLast sets the id after which the stream goes on.
func (s *Splitter) SetLast(id uint64) { s.last, s.any = id, true }

// markLength is the length of the longest end of an event.
const markLength = len("\n\r\n")

// wholeEvents returns the length of the whole events at the start of b. An
// event ends with an empty line.
func wholeEvents(b []byte) int {
	end := 0
	for _, mark := range [][]byte{[]byte("\n\n"), []byte("\n\r\n")} {
		if i := bytes.LastIndex(b, mark); i >= 0 {
			end = max(end, i+len(mark))
		}
	}
	return end
}

// note keeps the last id among the lines of whole events.
func (s *Splitter) note(events []byte) {
	for line := range bytes.Lines(events) {
		value, ok := bytes.CutPrefix(line, []byte("id:"))
		if !ok {
			continue
		}
		id, err := strconv.ParseUint(string(bytes.TrimSpace(value)), 10, 64)
		if err == nil {
			s.last, s.any = id, true
		}
	}
}
