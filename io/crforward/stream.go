package crforward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"crocusrack/core/crgrant"
	"crocusrack/core/crhealth"
	"crocusrack/core/crledger"
	"crocusrack/core/crstream"
	"crocusrack/core/crswitch"
	"crocusrack/io/crhop"
)

const (
	// streamBuffer is the most that is read of a stream at once, in bytes.
	streamBuffer = 4 << 10
	// stallGap is the silence of a stream after which its endpoint is looked
	// at. It is below the pauses that callers accept.
	stallGap = 500 * time.Millisecond
	// firstGap is the same before the first event, when the endpoint reads the
	// prompt.
	firstGap = 900 * time.Millisecond
	// coalesceShare is the part of the time for an event for which it may wait for
	// those after it; the rest is for the ways and for the processes.
	coalesceShare = 0.7
	// coalesceGap is the same as a part of the pause between events that a route
	// allows.
	coalesceGap = 0.25
	// minStall is the least time without a whole event after which a stream is
	// resumed elsewhere though its endpoint takes connections; stallGaps is the same
	// in pauses that the route allows between events.
	minStall  = 2500 * time.Millisecond
	stallGaps = 3
)

// stream passes events on as they come. A stream that breaks goes on at another
// endpoint, inside the same answer, where its route lets it.
func (x *exchange) stream(ctx context.Context, g *crgrant.Grant, answer *crhop.Answer) result {
	s := &streamer{exchange: x, splitter: crstream.Splitter{Limit: x.EventBytes}}
	if x.request.LastEvent != "" {
		if id, err := strconv.ParseUint(x.request.LastEvent, 10, 64); err == nil {
			s.splitter.SetLast(id)
		}
	}
	tried := []crledger.Key{g.Endpoint.Key}
	for {
		err := s.copy(ctx, g, answer)
		answer.Close()
		if err == nil {
			x.end(g, crhealth.Good)
			x.trace.end(answer.Status, "answered", nil)
			return result{verdict: done}
		}
		if s.writeErr != nil || x.incoming.Context().Err() != nil {
			g.Drop(time.Now())
			x.abort("caller-left", s.writeErr)
		}
		x.trace.last = err
		if ctx.Err() != nil {
			g.Drop(time.Now())
		} else {
			x.end(g, crhealth.Broken)
		}
		s.splitter.Rest()
		if !s.started {
			return result{verdict: unknown}
		}
		if g, answer = x.resume(ctx, s, &tried); answer == nil {
			x.abort("stream-cut", err)
		}
	}
}

// coalesce is the least pause between two writes to a caller. A packet that is
// lost delays a stream by hundreds of milliseconds; events that follow each other
// closely share one.
func (x *exchange) coalesce() time.Duration {
	if x.Disabled.Has(crswitch.EventCoalescing) {
		return 0
	}
	d := time.Duration(coalesceShare * float64(x.EventDelay))
	if x.route.Gap > 0 {
		d = min(d, time.Duration(coalesceGap*float64(x.route.Gap)))
	}
	return d
}

// resume sends the request of a broken stream to another endpoint.
func (x *exchange) resume(ctx context.Context, s *streamer, tried *[]crledger.Key) (*crgrant.Grant, *crhop.Answer) {
	if !x.route.Resumable || x.Disabled.Has(crswitch.StreamResume) {
		return nil, nil
	}
	for unsent := 0; unsent < maxUnsent && x.mayRepeat(); unsent++ {
		g := x.grant(ctx, *tried)
		if g.Endpoint == nil {
			return nil, nil
		}
		*tried = append(*tried, g.Endpoint.Key)
		x.trace.attempt(g, time.Since(x.start))
		last := ""
		if id, ok := s.splitter.Last(); ok {
			last = strconv.FormatUint(id, 10)
		}
		answer, err := x.sendWatched(ctx, g, last)
		if err != nil {
			x.unanswered(ctx, g, err)
			if !x.keyHolds() {
				return nil, nil
			}
			continue
		}
		if answer.Status >= 300 || x.Codec.NotRun(answer.Status, answer.Header) {
			answer.Close()
			x.end(g, crhealth.Refused)
			continue
		}
		x.logResumed(g, last)
		return g, answer
	}
	return nil, nil
}

// streamer copies the events of one caller's stream, from one endpoint after
// another.
type streamer struct {
	*exchange
	splitter crstream.Splitter
	// pending are events that wait to be written.
	pending []byte
	wrote   time.Time
	// started is true once the caller has the header.
	started  bool
	writeErr error
}

type piece struct {
	data []byte
	err  error
}

// copy passes events on until the answer ends. The error says why the endpoint's
// answer broke off; writeErr is set when the caller's did.
func (s *streamer) copy(ctx context.Context, g *crgrant.Grant, answer *crhop.Answer) error {
	pieces := make(chan piece)
	ended := make(chan struct{})
	defer close(ended)
	go read(answer.Body, pieces, ended)
	watch := s.watcher(g, s.sent)
	silence := time.NewTimer(firstGap)
	defer silence.Stop()
	due, pause := time.NewTimer(0), s.coalesce()
	defer due.Stop()
	for {
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-due.C:
			if err := s.flush(answer); err != nil {
				return err
			}
		case <-silence.C:
			next, err := watch.look(ctx)
			if err != nil {
				return err
			}
			silence.Reset(next)
		case p := <-pieces:
			if len(p.data) > 0 {
				g.Read(time.Now())
			}
			events, err := s.splitter.Write(p.data)
			if len(events) > 0 {
				watch.heard()
				silence.Reset(stallGap)
			}
			s.pending = append(s.pending, events...)
			if err == nil && !s.hold(s.splitter.Len()) {
				err = errNoMemory
			}
			switch {
			case err != nil:
				return errors.Join(err, s.flush(answer))
			case p.err == io.EOF:
				// Also an answer without events has a header.
				return s.write(answer, append(s.pending, s.splitter.Rest()...))
			case p.err != nil:
				return errors.Join(p.err, s.flush(answer))
			}
			if wait := time.Until(s.wrote.Add(pause)); wait > 0 {
				due.Reset(wait)
			} else if err := s.flush(answer); err != nil {
				return err
			}
		}
	}
}

// errNoMemory ends a stream with an unfinished event for which no memory is left.
var errNoMemory = errors.New("no memory is left for an event")

// read reads the body until it ends or ended is closed. A piece is valid until the
// next one is taken.
func read(body io.Reader, pieces chan<- piece, ended <-chan struct{}) {
	buffer, other := make([]byte, streamBuffer), make([]byte, streamBuffer)
	for {
		buffer, other = other, buffer
		n, err := body.Read(buffer)
		select {
		case pieces <- piece{buffer[:n], err}:
		case <-ended:
			return
		}
		if err != nil {
			return
		}
	}
}

// flush writes the pending events.
func (s *streamer) flush(answer *crhop.Answer) error {
	if len(s.pending) == 0 {
		return nil
	}
	err := s.write(answer, s.pending)
	s.pending, s.wrote = s.pending[:0], time.Now()
	return err
}

func (s *streamer) write(answer *crhop.Answer, b []byte) error {
	control := http.NewResponseController(s.writer)
	// A connection without deadlines is one of a test.
	_ = control.SetWriteDeadline(time.Now().Add(writeTimeout))
	if !s.started {
		s.started = true
		copyHeader(s.writer.Header(), answer.Header)
		s.writer.Header().Del("Content-Length")
		s.writer.WriteHeader(answer.Status)
		s.trace.first(answer.Status)
	}
	if _, err := s.writer.Write(b); err != nil {
		s.writeErr = err
		return err
	}
	if err := control.Flush(); err != nil {
		s.writeErr = err
		return err
	}
	return nil
}
