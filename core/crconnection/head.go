package crconnection

import "bytes"

// The memory in bytes that net/http takes for a header section while it is read and its request
// served, with what the collector hasn't freed yet: for each line the entry of a map that grows
// by doubling, and two strings; for each byte the strings, and a buffer that grows by doubling
// for long lines.
const (
	lineCost = 128
	byteCost = 3
)

// Verdict is what is known of a header section.
type Verdict int

// The verdicts.
const (
	// Incomplete sections go on.
	Incomplete Verdict = iota
	// Complete sections have ended; what follows isn't part of them.
	Complete
	// TooLarge sections exceed the limit.
	TooLarge
	// Empty sections begin with more empty lines than a caller may send.
	Empty
)

// endBytes is the length of the empty line that ends a section. It isn't part of the header lines.
const endBytes = 2

// maxEmptyLines is how many empty lines may precede a request. Old callers send one after a body.
const maxEmptyLines = 2

// Head measures the header section of a request, with its request line. Its zero value is at the
// beginning of a section.
type Head struct {
	// EarlyLines is the number of lines that were received with the last bytes of the request
	// before, and may belong to this section.
	EarlyLines int64

	lines, bytes int64
	// requestLine is the length of the request line.
	requestLine int64
	// emptyLines is the number of empty lines before the request line.
	emptyLines int
	// lineBytes is the length of the current line so far, and lineCR is true if that is a
	// carriage return alone.
	lineBytes int64
	lineCR    bool
}

// Add measures the next bytes of a connection. The limit, in bytes, is that of the request line
// and that of all header lines; zero means none. Add returns the number of bytes up to the end of
// the section, or to what is wrong with it.
func (h *Head) Add(p []byte, limit int64) (int, Verdict) {
	for read := 0; read < len(p); {
		piece := p[read:]
		end := bytes.IndexByte(piece, '\n')
		if end >= 0 {
			piece = piece[:end+1]
		}
		read += len(piece)
		if v := h.add(piece, end >= 0); v != Incomplete {
			return read, v
		}
		if limit > 0 && h.bytes-h.requestLine > limit+endBytes {
			return read, TooLarge
		}
	}
	return len(p), Incomplete
}

// add measures the next bytes of a line. Ended is true if a line feed is the last of them.
func (h *Head) add(piece []byte, ended bool) Verdict {
	content := piece
	if ended {
		content = piece[:len(piece)-1]
	}
	if len(content) > 0 {
		h.lineCR = h.lineBytes == 0 && len(content) == 1 && content[0] == '\r'
		h.lineBytes += int64(len(content))
	}
	h.bytes += int64(len(piece))
	if !ended {
		return Incomplete
	}
	isEmpty := h.lineBytes == 0 || h.lineCR
	h.lineBytes, h.lineCR = 0, false
	switch {
	case !isEmpty:
		if h.lines++; h.lines == 1 {
			h.requestLine = h.bytes
		}
	case h.lines > 0:
		return Complete
	default:
		h.bytes = 0
		if h.emptyLines++; h.emptyLines > maxEmptyLines {
			return Empty
		}
	}
	return Incomplete
}

// Cost returns the memory in bytes that the section takes so far.
func (h *Head) Cost() int64 { return lineCost*(h.lines+h.EarlyLines) + byteCost*h.bytes }
