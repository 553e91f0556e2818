package crforward

import (
	"context"
	"errors"
	"io"
	"strconv"
	"syscall"
	"time"

	"go.uber.org/zap"

	"crocusrack/core/crbackoff"
	"crocusrack/core/crcontext"
	"crocusrack/core/crgrant"
	"crocusrack/core/crhash"
	"crocusrack/core/crquarantine"
	"crocusrack/io/crhop"
)

const (
	// answerSettleTime is how long an answer must go on after its first event to show that
	// its prompt doesn't crash the endpoint.
	answerSettleTime = 250 * time.Millisecond
	// crashProbeTimeout bounds the probes by which a crash is confirmed. There are
	// crashProbes of them, crashProbeInterval apart, as an endpoint may close its connections
	// before it refuses new ones.
	crashProbeTimeout  = time.Second
	crashProbes        = 3
	crashProbeInterval = 150 * time.Millisecond
	// maxQuarantineParts bounds the parts of a prompt that are looked at.
	maxQuarantineParts = 256
)

// quarantineParts returns the parts of a prompt that other prompts may have, too. The last
// part belongs to the request itself.
func quarantineParts(service string, parts []crcontext.Part) []crquarantine.Part {
	if len(parts) < 2 {
		return nil
	}
	parts = parts[:min(len(parts)-1, maxQuarantineParts)]
	list := make([]crquarantine.Part, 0, len(parts))
	for _, p := range parts {
		list = append(list, crquarantine.PartOf(service, p.ID))
	}
	return list
}

// markAnswered records that the answer has settled.
func (x *exchange) markAnswered(g *crgrant.Grant) {
	if len(x.parts) > 0 && !x.answered.Swap(true) {
		g.MarkAnswered(time.Now())
	}
}

// reportCrash reports that the endpoint crashed before its answer had settled, if the
// connection was closed by the endpoint and new ones are refused. It returns at once.
func (x *exchange) reportCrash(g *crgrant.Grant, cause error) {
	if len(x.parts) == 0 || x.answered.Load() || !closedByEndpoint(cause) {
		return
	}
	x.probeAfterEnd(g, false)
}

// probeAfterEnd records a crash if the endpoint refuses connections, and that the prompt is
// answered if wasAnswer is true and the endpoint accepts them. It returns at once.
func (x *exchange) probeAfterEnd(g *crgrant.Grant, wasAnswer bool) {
	f, request, parts := x.Forwarder, x.request, x.parts
	go func() {
		e, began := crhop.Endpoint{Key: g.Endpoint.Key, Address: g.Endpoint.Address}, time.Now()
		err := f.probeCrash(e)
		if err == nil && wasAnswer && time.Since(began) < (crashProbes-1)*crashProbeInterval {
			// Another request's probes, which may have begun before a crash.
			err = f.probeCrash(e)
		}
		if err == nil && wasAnswer {
			g.MarkAnswered(time.Now())
		}
		if !errors.Is(err, syscall.ECONNREFUSED) {
			return
		}
		g.RecordCrash(time.Now(), crhash.Of(request.ID))
		f.Log.Warn("entry: an endpoint crashed before it answered a prompt",
			zap.String("request", request.ID), zap.String("endpoint", g.Endpoint.ID),
			zap.Any("prompt", request.Parts), zap.Stringers("parts", parts))
	}()
}

// recordAnswerEnd records what the end of a successful answer shows. A crash of the endpoint may
// have ended one that is unframed, unless the endpoint still accepts connections.
func (x *exchange) recordAnswerEnd(g *crgrant.Grant, answer *crhop.Answer) {
	if answer.Framed() {
		x.markAnswered(g)
		return
	}
	if len(x.parts) > 0 && !x.answered.Load() {
		x.probeAfterEnd(g, true)
	}
}

// probeCrash probes an endpoint that may have crashed. It returns nil if each probe opens a
// connection, and ECONNREFUSED if one is refused. The requests that wait at one endpoint share
// the probes.
func (f *Forwarder) probeCrash(e crhop.Endpoint) error {
	_, err, _ := f.crashProbes.Do(strconv.FormatUint(uint64(e.Key), 16), func() (any, error) {
		ctx, cancel := context.WithTimeout(context.Background(), crashProbeTimeout)
		defer cancel()
		var failed error
		for i := range crashProbes {
			if i > 0 && crbackoff.Sleep(ctx, crashProbeInterval) != nil {
				return nil, ctx.Err()
			}
			err := f.Client.Probe(ctx, e)
			if errors.Is(err, syscall.ECONNREFUSED) {
				return nil, err
			}
			failed = errors.Join(failed, err)
		}
		return nil, failed
	})
	return err
}

// closedByEndpoint reports whether an attempt failed because the endpoint closed the
// connection.
func closedByEndpoint(err error) bool {
	for _, cause := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, cause) {
			return true
		}
	}
	return false
}
