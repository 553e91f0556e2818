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
	"time"

	"crocusrack/core/crledger"
)

// inlineBody is the largest body that is written before the answer is read.
// The windows of connections take at least as much.
const inlineBody = 4096

// Answer is the answer of an endpoint. Read Body to its end, then Close.
type Answer struct {
	Status int
	Header http.Header
	// Length is the length of the body, or -1 when it isn't known ahead.
	Length int64
	Body   io.Reader

	client   *Client
	key      crledger.Key
	conn     *conn
	response *http.Response
	// written is closed once the request has been written; writeErr is set
	// before.
	written  chan struct{}
	writeErr error
	stop     func() bool
	ended    bool
	closing  sync.Once
}

// exchange writes a request and reads the header of its answer.
func (c *Client) exchange(ctx context.Context, key crledger.Key, k *conn, r *Request) (*Answer, error) {
	a := &Answer{client: c, key: key, conn: k, written: make(chan struct{})}
	a.stop = context.AfterFunc(ctx, func() { k.abort() })
	if ctx.Err() != nil {
		a.drop()
		return nil, &Error{Cause: ctx.Err()}
	}
	if r.Allowed != nil && !r.Allowed() {
		a.drop()
		return nil, &Error{Cause: ErrWithdrawn}
	}
	if len(r.Body) <= inlineBody {
		a.write(r)
		if a.writeErr != nil && a.nothingWritten() {
			a.drop()
			return nil, &Error{Cause: a.writeErr}
		}
	} else {
		go a.write(r)
	}
	first := !k.answered
	response, err := c.readHead(k, r.Method)
	if err == nil && !r.Echoed(response.StatusCode, response.Header, first) {
		err = errSpoilt
	}
	if err != nil {
		a.drop()
		if cause := context.Cause(ctx); cause != nil {
			err = cause
		}
		return nil, &Error{Sent: true, Cause: err}
	}
	a.response = response
	a.Status, a.Header, a.Length, a.Body = response.StatusCode, response.Header, response.ContentLength, a
	return a, nil
}

// abort resets the connection. What the endpoint hasn't got is discarded: it
// would else arrive when a link is whole again.
func (k *conn) abort() {
	if t, ok := k.Conn.(interface{ SetLinger(seconds int) error }); ok {
		// A connection that can't be reset is closed all the same.
		_ = t.SetLinger(0)
	}
	k.Close()
}

func (a *Answer) drop() {
	a.stop()
	a.conn.abort()
}

// errNothing marks a write that failed before its first byte.
var errNothing = errors.New("nothing was written")

func (a *Answer) nothingWritten() bool { return errors.Is(a.writeErr, errNothing) }

func (a *Answer) write(r *Request) {
	defer close(a.written)
	// The header and a small body leave in one packet.
	first, rest := head(r), r.Body
	if len(rest) <= inlineBody {
		first, rest = append(first, rest...), nil
	}
	n, err := a.conn.Write(first)
	if err == nil && len(rest) > 0 {
		_, err = a.conn.Write(rest)
	}
	if err != nil && n == 0 {
		err = fmt.Errorf("%w: %w", errNothing, err)
	}
	a.writeErr = err
}

// head returns the request line and header.
func head(r *Request) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.Target, r.Host)
	// A buffer takes every write.
	_ = r.Header.WriteSubset(&b, map[string]bool{"Host": true, "Content-Length": true, "Transfer-Encoding": true})
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// readHead reads the head of the final answer.
func (c *Client) readHead(k *conn, method string) (*http.Response, error) {
	k.unread = c.HeadBytes
	if k.unread <= 0 {
		k.unread = defaultHeadBytes
	}
	defer func() { k.unread = -1 }()
	for range maxInterim + 1 {
		response, err := http.ReadResponse(k.reader, &http.Request{Method: method, URL: &url.URL{}})
		if err != nil {
			return nil, err
		}
		k.answered = true
		if response.StatusCode >= 200 || response.StatusCode == http.StatusSwitchingProtocols {
			return response, nil
		}
	}
	return nil, errHeadTooLong
}

// Read reads the body.
func (a *Answer) Read(p []byte) (int, error) {
	n, err := a.response.Body.Read(p)
	if err == io.EOF {
		a.ended = true
	}
	return n, err
}

// Close ends the exchange. The connection is kept when the body was read to its
// end and nothing else has arrived or is due; it is reset otherwise.
func (a *Answer) Close() {
	a.closing.Do(func() {
		if !a.reusable() {
			a.drop()
			return
		}
		if !a.stop() {
			a.conn.Close()
			return
		}
		if idle := idleTime(a.Header); idle > 0 {
			a.client.keep(a.key, a.conn, time.Now().Add(idle))
			return
		}
		a.conn.Close()
	})
}

func (a *Answer) reusable() bool {
	if !a.ended || a.response.Close || a.conn.reader.Buffered() > 0 {
		return false
	}
	if a.Length < 0 && !strings.EqualFold(strings.Join(a.response.TransferEncoding, ","), "chunked") {
		return false
	}
	select {
	case <-a.written:
		return a.writeErr == nil
	default:
		return false
	}
}

// idleTime returns how long a connection may be kept by the endpoint's word.
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
	return defaultIdle
}
