package crforward

import (
	"context"
	"errors"
	"io"
	"syscall"
	"time"

	"go.uber.org/zap"

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
	// crashProbeTimeout bounds the probe by which a crash is confirmed.
	crashProbeTimeout = time.Second
)

// quarantineParts returns the parts of a prompt that other prompts may have, too. The last
// part belongs to the request itself.
func quarantineParts(service string, parts []crcontext.Part) []crquarantine.Part {
	if len(parts) < 2 {
		return nil
	}
	list := make([]crquarantine.Part, 0, len(parts)-1)
	for _, p := range parts[:len(parts)-1] {
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
	client, log, request, parts := x.Client, x.Log, x.request, x.parts
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), crashProbeTimeout)
		defer cancel()
		err := client.Probe(ctx, crhop.Endpoint{Key: g.Endpoint.Key, Address: g.Endpoint.Address})
		if !errors.Is(err, syscall.ECONNREFUSED) {
			return
		}
		g.RecordCrash(time.Now(), crhash.Of(request.ID))
		log.Warn("entry: an endpoint crashed before it answered a prompt",
			zap.String("request", request.ID), zap.String("endpoint", g.Endpoint.ID),
			zap.Any("prompt", request.Parts), zap.Stringers("parts", parts))
	}()
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
