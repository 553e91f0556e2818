// Package crstream cuts a stream of server-sent events into whole events and
// keeps the id of the last one, so that a stream that breaks can be resumed
// after it without a gap or a repeat.
package crstream

import (
	"bytes"
	"strconv"
)

// Splitter collects bytes until an event is whole. Its zero value is ready.
type Splitter struct {
	buffer []byte
	last   uint64
	any    bool
}

// Write takes bytes of the stream and returns those that end with a whole
// event; they are valid until the next call. What doesn't end yet is kept.
func (s *Splitter) Write(p []byte) []byte {
	s.buffer = append(s.buffer, p...)
	end := wholeEvents(s.buffer)
	if end == 0 {
		return nil
	}
	whole := bytes.Clone(s.buffer[:end])
	s.buffer = append(s.buffer[:0], s.buffer[end:]...)
	s.note(whole)
	return whole
}

// Rest returns the bytes after the last whole event and forgets them.
func (s *Splitter) Rest() []byte {
	rest := s.buffer
	s.buffer = nil
	return rest
}

// Last returns the id of the last whole event; false before the first one with
// an id.
func (s *Splitter) Last() (uint64, bool) { return s.last, s.any }

// SetLast sets the id after which the stream goes on.
func (s *Splitter) SetLast(id uint64) { s.last, s.any = id, true }

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
