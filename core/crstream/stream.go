// Package crstream splits a stream of server-sent events into complete events and
// tracks the ID of the last complete event, so that an interrupted stream can be resumed
// after that event without missing or repeating one.
package crstream

import (
	"bytes"
	"errors"
	"strconv"
	"strings"
)

// DefaultLimit is the limit of a Splitter, in bytes, if its Limit is zero or negative.
const DefaultLimit = 64 << 10

// ErrTooLong is returned for an incomplete event that exceeds the limit.
var ErrTooLong = errors.New("an event of the stream is too long")

// Splitter buffers bytes of a stream until an event is complete. Set Limit before the
// first use. The zero value is ready to use.
type Splitter struct {
	// Limit bounds the bytes buffered for an incomplete event. Zero means DefaultLimit.
	Limit int

	buffer  []byte
	lastID  uint64
	hasLast bool
	events  int
}

// Write adds bytes of the stream and returns the complete events, which are valid until
// the next call. It buffers the remaining bytes. If these exceed the limit, the error is
// ErrTooLong, and the complete events before them are returned as well.
func (s *Splitter) Write(p []byte) ([]byte, error) {
	// The terminator of an event may begin in bytes that were buffered before.
	from := max(0, len(s.buffer)-maxTerminatorLength+1)
	s.buffer = append(s.buffer, p...)
	var complete []byte
	if end := completeLength(s.buffer[from:]); end > 0 {
		complete = bytes.Clone(s.buffer[:from+end])
		s.buffer = append(s.buffer[:0], s.buffer[from+end:]...)
		s.recordLastID(complete)
		s.events += countEvents(complete)
	}
	limit := s.Limit
	if limit <= 0 {
		limit = DefaultLimit
	}
	if len(s.buffer) > limit {
		return complete, ErrTooLong
	}
	return complete, nil
}

// Rest returns the buffered bytes after the last complete event and clears the buffer.
func (s *Splitter) Rest() []byte {
	rest := s.buffer
	s.buffer = nil
	return rest
}

// Len returns the number of buffered bytes.
func (s *Splitter) Len() int { return len(s.buffer) }

// lineEnds replaces the line ends that an event stream may have.
var lineEnds = strings.NewReplacer("\r\n", "\n", "\r", "\n")

// Inside reports whether the bytes so far end inside an event or a line. Comments and empty lines
// belong to no event.
func (s *Splitter) Inside() bool {
	rest := lineEnds.Replace(string(s.buffer))
	if i := strings.LastIndex(rest, "\n\n"); i >= 0 {
		rest = rest[i+len("\n\n"):]
	}
	for line := range strings.Lines(rest) {
		if line != "\n" && (line[0] != ':' || !strings.HasSuffix(line, "\n")) {
			return true
		}
	}
	return false
}

// Last returns the ID of the last complete event that has a numeric one, and false if there
// is no such event and SetLast wasn't called.
func (s *Splitter) Last() (uint64, bool) { return s.lastID, s.hasLast }

// SetLast sets the ID of the event after which a resumed stream continues.
func (s *Splitter) SetLast(id uint64) { s.lastID, s.hasLast = id, true }

// Events returns the number of complete events.
func (s *Splitter) Events() int { return s.events }

// countEvents returns the number of complete events in b. An event has at least one line
// that isn't empty.
func countEvents(b []byte) int {
	count, open := 0, false
	for line := range bytes.Lines(b) {
		empty := len(bytes.TrimRight(line, "\r\n")) == 0
		if empty && open {
			count++
		}
		open = !empty
	}
	return count
}

// maxTerminatorLength is the length of the longest terminator of an event.
const maxTerminatorLength = len("\n\r\n")

// completeLength returns the length of the complete events at the start of b. An event
// ends with an empty line.
func completeLength(b []byte) int {
	end := 0
	for _, terminator := range [][]byte{[]byte("\n\n"), []byte("\n\r\n")} {
		if i := bytes.LastIndex(b, terminator); i >= 0 {
			end = max(end, i+len(terminator))
		}
	}
	return end
}

// recordLastID stores the last ID among the lines of complete events that is a decimal
// number of up to 64 bits. Other IDs are ignored.
func (s *Splitter) recordLastID(events []byte) {
	for line := range bytes.Lines(events) {
		value, ok := bytes.CutPrefix(line, []byte("id:"))
		if !ok {
			continue
		}
		id, err := strconv.ParseUint(string(bytes.TrimSpace(value)), 10, 64)
		if err == nil {
			s.lastID, s.hasLast = id, true
		}
	}
}
