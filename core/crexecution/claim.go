package crexecution

import (
	"context"

	"crocusrack/core/crstore"
	"crocusrack/schema/crcaller"
)

// claimPrefix is the prefix of the object names of claims in the store.
const claimPrefix = "claim/"

// Values of a claim object. claimStart: the writer may execute the token.
// claimVoid: nobody may execute it any more.
const (
	claimStart = "start"
	claimVoid  = "void"
)

// ClaimResult is the result of writing the claim of a token to the store. It tells
// whether the token may be executed.
type ClaimResult uint8

const (
	// Claimed means that this call wrote the claim. The request may be sent.
	Claimed ClaimResult = iota + 1
	// AlreadyClaimed means that another writer has claimed the token and may
	// execute it. It is also the result if the store reports that the object exists
	// and the object can't be read.
	AlreadyClaimed
	// Voided means that another writer has voided the token, so that it never runs.
	Voided
	// Unavailable means that the store has not written the claim. The request must
	// not be sent.
	Unavailable
	// Uncertain means that the store may have written the claim, or may still
	// write it. The request must not be sent.
	Uncertain
)

// String returns the name of the result in kebab case.
func (c ClaimResult) String() string {
	names := [...]string{"invalid", "claimed", "already-claimed", "voided", "unavailable", "uncertain"}
	if int(c) < len(names) {
		return names[c]
	}
	return names[0]
}

// ClaimStore writes claims to the platform's store, in addition to the registry,
// for services that require it. The request may be sent once Begin has returned
// Start and then Claim has returned Claimed. For every other result of Claim the
// request isn't sent, and the result's Outcome is recorded with Finish. An
// attempt that holds a claim must not be undone with Release, because the claim
// stays in the store.
//
// With a claim in the store, the outcome of a token can be determined after its
// run has ended: see Void. A ClaimStore is safe for concurrent use if its fields are.
type ClaimStore struct {
	Store crstore.Store
	// WriteID returns a new id for each call. The id is stored with the object. If
	// the store's answer to a write is lost, the id in the stored object shows
	// whether that write took effect.
	WriteID func() string
}

// Claim writes the claim of a token. A lost answer is resolved by the write id.
func (c ClaimStore) Claim(ctx context.Context, token string) ClaimResult {
	return c.create(ctx, token, claimStart)
}

// Void prevents a token whose run has ended from being executed, and returns its
// outcome: not run if the token had not been claimed, and unknown otherwise. Use
// it only for services whose requests are all claimed.
func (c ClaimStore) Void(ctx context.Context, token string) Outcome {
	switch c.create(ctx, token, claimVoid) {
	case Claimed, Voided:
		// Here Claimed means that this call wrote claimVoid: nobody may execute the
		// token.
		return Voided.Outcome()
	}
	return RunEndedOutcome()
}

func (c ClaimStore) create(ctx context.Context, token, value string) ClaimResult {
	o := crstore.Object{Name: claimPrefix + token, Value: []byte(value), WriteID: c.WriteID()}
	current, result := c.Store.Write(ctx, o)
	switch {
	case result == crstore.Written:
		return Claimed
	case result == crstore.Conflict && string(current.Value) == claimVoid:
		return Voided
	case result == crstore.Conflict:
		return AlreadyClaimed
	case result == crstore.NotWritten:
		return Unavailable
	}
	return Uncertain
}

// Outcome returns the outcome to record for a result other than Claimed. The
// registry starts one attempt of a token at a time. AlreadyClaimed therefore isn't
// due to a concurrent attempt of the same registry, and
// means that the token may have been executed.
func (c ClaimResult) Outcome() Outcome {
	switch c {
	case Voided:
		return Outcome{
			Kind:   crcaller.OutcomeKind_OUTCOME_KIND_NOT_RUN,
			Reason: crcaller.Reason_REASON_TOKEN_VOID,
			Detail: "The execution token was made void before it ran. Ask for a new one.",
		}
	case AlreadyClaimed:
		return Outcome{
			Kind:   crcaller.OutcomeKind_OUTCOME_KIND_UNKNOWN,
			Reason: crcaller.Reason_REASON_TOKEN_VOID,
			Detail: "The execution token is claimed in the platform's store. The request may have run.",
		}
	}
	return Outcome{
		Kind:   crcaller.OutcomeKind_OUTCOME_KIND_NOT_RUN,
		Reason: crcaller.Reason_REASON_STORE_UNAVAILABLE,
		Detail: "The platform's store did not confirm the claim. The request was not sent and this token will not run.",
	}
}
