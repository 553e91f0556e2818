package crforward

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"crocusrack/core/crgrant"
	"crocusrack/core/crhealth"
	"crocusrack/core/crroute"
	"crocusrack/io/crhop"
)

// handlePlain handles an answer that isn't an event stream.
func (x *exchange) handlePlain(g *crgrant.Grant, answer *crhop.Answer) result {
	if x.passedOn(answer) {
		return x.copyThrough(g, answer, nil)
	}
	body, more, err := x.readBuffered(answer)
	if err == nil && more && answer.Status >= 500 && x.route.Kind == crroute.Idempotent {
		// Another endpoint may answer instead.
		err = errTooLong
	}
	if err != nil {
		x.reportCrash(g, err)
		return x.classifyFailure(g, &crhop.Error{Sent: true, Cause: err})
	}
	if more {
		return x.copyThrough(g, answer, body)
	}
	buffered := &bufferedAnswer{answer.Status, answer.Header, body}
	if answer.Status >= 500 {
		x.endGrant(g, crhealth.Failed)
		return result{verdict: failed, answer: buffered}
	}
	if answer.Status < http.StatusMultipleChoices {
		// The engine need not have read the prompt for another answer.
		x.recordAnswerEnd(g, answer)
	}
	x.endGrant(g, crhealth.Good)
	x.writeAnswer(buffered)
	return result{verdict: done}
}

// errTooLong means that a failure answer is too long to buffer, or that an answer
// without Content-Length exceeds maxUnknownLength.
var errTooLong = errors.New("the answer is too long")

// maxUnknownLength bounds an answer without Content-Length, in bytes.
const maxUnknownLength = 8 << 20

// readBuffered reads an answer up to maxBufferedBody and the memory limit. It returns
// more = true if it stopped there before the end of the answer. The body is read into parts,
// so that it isn't copied as it grows.
func (x *exchange) readBuffered(answer *crhop.Answer) (body bufferedBody, more bool, err error) {
	size := 0
	for {
		if n := len(body); n == 0 || len(body[n-1]) == cap(body[n-1]) {
			next := min(max(initialBufferSize, size), maxPartSize)
			if size == 0 && answer.Length > initialBufferSize && answer.Length < maxBufferedBody {
				// The byte beyond the length is for the read that finds the end.
				next = int(answer.Length) + 1
			}
			if size >= maxBufferedBody || !x.reserveMemory(size+next) {
				return body, true, nil
			}
			body = append(body, make([]byte, 0, next))
		}
		last := &body[len(body)-1]
		n, err := answer.Body.Read((*last)[len(*last):cap(*last)])
		*last = (*last)[:len(*last)+n]
		size += n
		if err == io.EOF {
			return body, false, nil
		}
		if err != nil {
			return body, false, err
		}
	}
}

// initialBufferSize is the initial size of the buffer for an answer, in bytes. It is
// enough for a short answer.
const initialBufferSize = 2 << 10

// maxPartSize is the size, in bytes, up to which each further part of a buffer is as long as all
// earlier ones.
const maxPartSize = 64 << 10

// bufferedBody is the body of an answer, in parts.
type bufferedBody [][]byte

// length returns the length in bytes.
func (b bufferedBody) length() int {
	n := 0
	for _, part := range b {
		n += len(part)
	}
	return n
}

// writeTo writes the body.
func (b bufferedBody) writeTo(w io.Writer) error {
	for _, part := range b {
		if _, err := w.Write(part); err != nil {
			return err
		}
	}
	return nil
}

// writeAnswer writes a buffered answer to the caller.
func (x *exchange) writeAnswer(a *bufferedAnswer) {
	x.body.drop()
	x.trace.recordEnd(a.status, "answered", nil)
	copyHeader(x.writer.Header(), a.header)
	if a.header.Get("Content-Length") == "" && bodyAllowed(x.incoming.Method, a.status) {
		x.writer.Header().Set("Content-Length", strconv.Itoa(a.body.length()))
	}
	x.beginWriting(x.answerTimeout())
	x.writer.WriteHeader(a.status)
	// The trace records an error.
	_ = a.body.writeTo(x)
}

// copyThrough passes on an answer that is too long to buffer. It writes begin, the bytes
// that were read already, and then copies the rest as it arrives.
func (x *exchange) copyThrough(g *crgrant.Grant, answer *crhop.Answer, begin bufferedBody) result {
	x.body.drop()
	copyHeader(x.writer.Header(), answer.Header)
	x.beginWriting(x.answerTimeout())
	x.writer.WriteHeader(answer.Status)
	length := begin.length()
	err := begin.writeTo(x)
	if err == nil {
		// The copy takes long, and the parts aren't needed any more.
		begin = nil
		err = copyRest(x, answer, int64(length))
	}
	if x.trace.writeErr != nil {
		// The caller left, or doesn't read its answer. The endpoint isn't at fault.
		g.Drop(time.Now())
		x.abort(outcomeCallerLeft, x.trace.writeErr)
	}
	if err != nil {
		if !x.callerLeft() {
			x.reportCrash(g, err)
		}
		x.classifyFailure(g, err)
		x.abort("answer-cut", err)
	}
	switch {
	case answer.Status >= http.StatusMultipleChoices:
	case length >= maxBufferedBody:
		x.markAnswered(g)
	default:
		x.recordAnswerEnd(g, answer)
	}
	outcome := crhealth.Good
	if answer.Status >= 500 {
		outcome = crhealth.Failed
	}
	x.endGrant(g, outcome)
	x.trace.recordEnd(answer.Status, "answered", nil)
	return result{verdict: done}
}

// copyBufferBytes is the size of a read from an answer that is passed on.
const copyBufferBytes = 8 << 10

// copyBuffers holds the buffers of copyRest that aren't in use.
var copyBuffers = sync.Pool{New: func() any { return new([copyBufferBytes]byte) }}

// copyRest copies the rest of an answer of which the given number of bytes was read. An
// answer without Content-Length may have maxUnknownLength bytes in total.
func copyRest(w io.Writer, answer *crhop.Answer, read int64) error {
	buffer := copyBuffers.Get().(*[copyBufferBytes]byte)
	defer copyBuffers.Put(buffer)
	if answer.Length >= 0 {
		_, err := io.CopyBuffer(w, answer.Body, buffer[:])
		return err
	}
	n, err := io.CopyBuffer(w, io.LimitReader(answer.Body, maxUnknownLength-read), buffer[:])
	if err == nil && n == maxUnknownLength-read {
		err = errTooLong
	}
	return err
}
