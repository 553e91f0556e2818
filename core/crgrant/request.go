package crgrant

import (
	"time"

	"crocusrack/core/crcontext"
	"crocusrack/core/crledger"
	"crocusrack/core/crquarantine"
	"crocusrack/core/crroute"
	"crocusrack/core/crversion"
)

// Request describes a request that needs an endpoint.
type Request struct {
	Service crroute.Service
	// Links identify the prompt. They are empty for a request without a prompt.
	Links []crcontext.Link
	// Parts are the parts of the prompt that other prompts may have, too.
	Parts []crquarantine.Part
	// Route is the name of the request's route, and Draw a hash of its id, which is the
	// same each time.
	Route string
	Draw  uint64
	// Tried holds the endpoints to which the request was already sent.
	Tried []crledger.Key
	// Target is the time to first token that the route aims at. Zero means no target.
	Target time.Duration
	// SkipPrefillWait is true if the request doesn't wait for an endpoint that is already
	// reading the same prompt.
	SkipPrefillWait bool
	// Account is the name of the client account, or empty if the request has none, and Weight
	// its relative share. Zero means 1.
	Account string
	Weight  float64
	// Priority is the priority of the request. Zero is the highest.
	Priority int
	// Deadline is when the caller stops waiting. The zero time means that it isn't known.
	Deadline time.Time
	// Stream is what is known of the stream that answers the request, or nil if it isn't
	// answered by a stream.
	Stream *Stream
	// Resumable is true if callers may take up the stream that answers the request.
	Resumable bool
	// Version is the version that began the stream that goes on, or zero if any may answer.
	Version crversion.Version
}
