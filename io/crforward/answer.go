package crforward

import (
	"errors"
	"io"
	"net/http"
	"slices"

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
// more = true if it stopped there before the end of the answer.
func (x *exchange) readBuffered(answer *crhop.Answer) (body []byte, more bool, err error) {
	for {
		if len(body) == cap(body) {
			if len(body) >= maxBufferedBody || !x.reserveMemory(2*cap(body)) {
				return body, true, nil
			}
			body = slices.Grow(body, max(initialBufferSize, cap(body)))
		}
		n, err := answer.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
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

// writeAnswer writes a buffered answer to the caller.
func (x *exchange) writeAnswer(a *bufferedAnswer) {
	x.trace.recordEnd(a.status, "answered", nil)
	copyHeader(x.writer.Header(), a.header)
	if a.header.Get("Content-Length") == "" && bodyAllowed(x.incoming.Method, a.status) {
		x.writer.Header().Set("Content-Length", lengthOf(a.body))
	}
	x.writer.WriteHeader(a.status)
	_, err := x.writer.Write(a.body)
	x.trace.recordWriteError(err)
}

// copyThrough passes on an answer that is too long to buffer. It writes begin, the bytes
// that were read already, and then copies the rest as it arrives.
func (x *exchange) copyThrough(g *crgrant.Grant, answer *crhop.Answer, begin []byte) result {
	copyHeader(x.writer.Header(), answer.Header)
	x.writer.WriteHeader(answer.Status)
	_, err := x.writer.Write(begin)
	if err == nil {
		err = copyRest(x.writer, answer, int64(len(begin)))
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
	case len(begin) >= maxBufferedBody:
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

// copyRest copies the rest of an answer of which the given number of bytes was read. An
// answer without Content-Length may have maxUnknownLength bytes in total.
func copyRest(w io.Writer, answer *crhop.Answer, read int64) error {
	if answer.Length >= 0 {
		_, err := io.Copy(w, answer.Body)
		return err
	}
	n, err := io.Copy(w, io.LimitReader(answer.Body, maxUnknownLength-read))
	if err == nil && n == maxUnknownLength-read {
		err = errTooLong
	}
	return err
}
