package crhop

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"crocusrack/core/crledger"
)

// maxInlineBody is the largest body, in bytes, that is written before the answer is
// read. TCP windows hold at least as much, so the write can't block.
const maxInlineBody = 4096

// Answer is an endpoint's answer. The caller reads Body to its end and then calls Close.
type Answer struct {
	Status int
	Header http.Header
	// Length is the length of the body in bytes. It is -1 if the answer doesn't say.
	Length int64
	Body   io.Reader

	client   *Client
	key      crledger.Key
	conn     *conn
	response *http.Response
	// written is closed once the request has been written. writeErr is set before that.
	written  chan struct{}
	writeErr error
	// stopAbort prevents the abort that is otherwise made when the request's context
	// ends. It returns false if that abort has begun already.
	stopAbort func() bool
	// watch resets the connection if the request isn't acknowledged. It is nil before the request is
	// written.
	watch *sendWatch
	// bodyEnded is true once the body was read to its end. It is atomic because Close may
	// run while Read does; if it is true, nothing reads from the connection any more.
	bodyEnded atomic.Bool
	closeOnce sync.Once
}

// exchange writes a request to a connection and reads the header of the answer.
func (c *Client) exchange(ctx context.Context, key crledger.Key, k *conn, r *Request) (*Answer, error) {
	a := &Answer{client: c, key: key, conn: k, written: make(chan struct{})}
	a.stopAbort = context.AfterFunc(ctx, func() { k.abort() })
	if ctx.Err() != nil {
		r.bodyRead()
		a.reset()
		return nil, &Error{Cause: ctx.Err()}
	}
	if r.Allowed != nil && !r.Allowed() {
		r.bodyRead()
		a.reset()
		return nil, &Error{Cause: ErrWithdrawn}
	}
	a.watch = a.watchSending()
	if r.bodyLength() <= maxInlineBody {
		a.write(r)
		if a.writeErr != nil && a.nothingWritten() {
			a.reset()
			return nil, &Error{Cause: a.writeErr}
		}
	} else {
		go a.write(r)
	}
	first := !k.answered
	response, err := c.readHead(k, r.Method)
	if err == nil && !r.Echoed(response.StatusCode, response.Header, first) {
		err = errWrongAnswer
	}
	if err != nil {
		a.reset()
		if cause := context.Cause(ctx); cause != nil {
			err = cause
		} else if a.watch.hasExpired() {
			err = errUnacknowledged
		}
		// The connection is closed, so the write ends.
		<-a.written
		return nil, &Error{Sent: !a.nothingWritten(), Cause: err}
	}
	a.response = response
	a.Status, a.Header, a.Length, a.Body = response.StatusCode, response.Header, response.ContentLength, a
	return a, nil
}

// abort resets the connection, so that unsent data is discarded. Otherwise it would
// still reach the endpoint when a broken link recovers.
func (k *conn) abort() {
	if t, ok := k.Conn.(interface{ SetLinger(seconds int) error }); ok {
		// The error is ignored: a connection that can't be reset is closed below.
		_ = t.SetLinger(0)
	}
	k.Close()
}

// reset ends the exchange and resets its connection.
func (a *Answer) reset() {
	a.stopWatch()
	a.stopAbort()
	a.conn.abort()
}

func (a *Answer) stopWatch() {
	if a.watch != nil {
		a.watch.stop()
	}
}

// errNothingWritten marks a write that failed before its first byte.
var errNothingWritten = errors.New("nothing was written")

func (a *Answer) nothingWritten() bool { return errors.Is(a.writeErr, errNothingWritten) }

// write writes the request, sets writeErr and closes written.
func (a *Answer) write(r *Request) {
	defer close(a.written)
	defer r.bodyRead()
	length := r.bodyLength()
	// The header and a small body are sent in one packet.
	first, rest := encodeHead(r, length), r.Body
	if length <= maxInlineBody {
		for _, part := range rest {
			first = append(first, part...)
		}
		rest = nil
	}
	n, err := a.conn.Write(first)
	for i := 0; i < len(rest) && err == nil; i++ {
		_, err = a.conn.Write(rest[i])
	}
	if err != nil && n == 0 {
		err = fmt.Errorf("%w: %w", errNothingWritten, err)
	}
	a.writeErr = err
}

// encodeHead returns the encoded request line and header of a request whose body has the given
// length in bytes.
func encodeHead(r *Request, length int) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.Target, r.Host)
	// Writing to a bytes.Buffer doesn't fail.
	_ = r.Header.WriteSubset(&b, map[string]bool{"Host": true, "Content-Length": true, "Transfer-Encoding": true})
	if length > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		b.WriteString("Content-Length: " + strconv.Itoa(length) + "\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// readHead reads the status line and header of the final answer and skips up to
// maxInterim interim answers.
func (c *Client) readHead(k *conn, method string) (*http.Response, error) {
	k.headBytesLeft = c.MaxHeaderBytes
	if k.headBytesLeft <= 0 {
		k.headBytesLeft = defaultHeadBytes
	}
	defer func() { k.headBytesLeft = -1 }()
	for range maxInterim + 1 {
		response, err := http.ReadResponse(k.reader, &http.Request{Method: method, URL: &url.URL{}})
		if err != nil {
			return nil, err
		}
		if response.StatusCode < http.StatusContinue {
			// What follows is this answer's body, and not another answer.
			return nil, fmt.Errorf("%w: %03d", errBadStatus, response.StatusCode)
		}
		k.answered = true
		if response.StatusCode >= 200 || response.StatusCode == http.StatusSwitchingProtocols {
			return response, nil
		}
	}
	return nil, errHeadTooLong
}

// Framed reports whether a length or chunks mark the end of the body. Otherwise the body
// ends with its connection, and may be incomplete without an error.
func (a *Answer) Framed() bool {
	return a.Length >= 0 || strings.EqualFold(strings.Join(a.response.TransferEncoding, ","), "chunked")
}

// resetWait is how long the end of an unframed body waits for the write of the request to fail. A
// write fails at once on a connection that was reset.
const resetWait = 50 * time.Millisecond

// Read reads from the body. The end of an unframed body on a connection that was reset is
// io.ErrUnexpectedEOF.
func (a *Answer) Read(p []byte) (int, error) {
	n, err := a.response.Body.Read(p)
	if err != io.EOF {
		return n, err
	}
	if !a.Framed() && a.writeFailed() {
		return n, io.ErrUnexpectedEOF
	}
	a.bodyEnded.Store(true)
	return n, err
}

// writeFailed reports whether the request couldn't be written to its end. The error of a reset is
// returned once: if the write gets it, reads end as if the endpoint had closed the connection.
func (a *Answer) writeFailed() bool {
	select {
	case <-a.written:
		return a.writeErr != nil
	default:
	}
	timer := time.NewTimer(resetWait)
	defer timer.Stop()
	select {
	case <-a.written:
		return a.writeErr != nil
	case <-timer.C:
		return false
	}
}

// Close ends the exchange. The connection is kept for reuse if the body was read to its
// end, the request was written completely, and no further data has arrived. Otherwise
// the connection is reset.
func (a *Answer) Close() {
	a.closeOnce.Do(func() {
		if !a.reusable() {
			a.reset()
			return
		}
		a.stopWatch()
		if !a.stopAbort() {
			a.conn.Close()
			return
		}
		if idle := idleTime(a.Header); idle > 0 {
			a.client.putIdle(a.key, a.conn, time.Now().Add(idle))
			return
		}
		a.conn.Close()
	})
}

// Abort ends the exchange and resets its connection.
func (a *Answer) Abort() { a.closeOnce.Do(a.reset) }

// reusable reports whether the connection may carry another request.
func (a *Answer) reusable() bool {
	if !a.bodyEnded.Load() || !a.Framed() || a.response.Close || a.conn.reader.Buffered() > 0 {
		return false
	}
	select {
	case <-a.written:
		return a.writeErr == nil
	default:
		return false
	}
}

// idleTime returns how long the connection may be idle according to the endpoint's
// Keep-Alive header, less idleMargin, or defaultIdleTimeout if the header has no timeout.
func idleTime(h http.Header) time.Duration {
	for parameter := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(parameter), "timeout=")
		if !ok {
			continue
		}
		seconds, err := strconv.Atoi(value)
		if err != nil {
			return 0
		}
		return time.Duration(seconds)*time.Second - idleMargin
	}
	return defaultIdleTimeout
}
