// Package crlease implements a lease: the exclusive right to a name for a
// limited time, recorded in one object of the platform's object store.
//
// The protocol doesn't compare the clocks of different instances. The holder
// counts the duration from before it sent its last write. Each other instance
// counts it from when it first knew that the object's current version exists, and
// takes the lease over if the object hasn't changed for the whole duration.
package crlease

import (
	"context"
	"errors"
	"slices"
	"time"

	"crocusrack/core/crhash"
	"crocusrack/core/crstore"
)

// renewalsPerDuration is how many times the holder renews the lease within a
// Duration.
const renewalsPerDuration = 3

// Lease is the state of one instance that holds or competes for a lease. Set
// the exported fields before first use. A Lease is not safe for concurrent use:
// its user must hold a lock.
type Lease struct {
	// Store holds the object of the lease. Only Get, Create and Update are used.
	Store crstore.Store
	// Name is the object's name. All instances must use the same one.
	Name string
	// Holder identifies this run of this instance. No other run of any instance
	// may use the same value.
	Holder string
	// Duration is how long the lease lasts without renewal. All instances must
	// use the same one.
	Duration time.Duration
	// Margin is the time before the expiry of the lease at which the holder stops
	// using it. It must exceed the drift between two clocks over one Duration plus the time
	// between a Check and the operation that relies on it.
	Margin time.Duration
	// WriteID returns a new unique id on each call.
	WriteID func() string

	// token is the fencing token. Zero means that the lease isn't held.
	token uint64
	// validUntil is when Check stops reporting the lease as held.
	validUntil time.Time
	// lastRenewal is when the last successful write started.
	lastRenewal time.Time
	// current is the object as last read or written.
	current crstore.Object
	// unchangedSince is the earliest time at which current is known to have been
	// stored. Zero means that the next read determines it.
	unchangedSince time.Time
}

// Check returns the fencing token if the lease is held at now and for at least
// Margin after it. The holder must call Check with a fresh clock reading right
// before each operation that the lease protects, so that a process that was
// paused finds its lease expired.
func (l *Lease) Check(now time.Time) (token uint64, held bool) {
	if l.token == 0 || !now.Before(l.validUntil) {
		return 0, false
	}
	return l.token, true
}

// Tick renews the lease if this instance holds it. Otherwise it reads the object
// and acquires the lease if it is released or expired. It makes at most two
// calls to Store.Get and Store.Write, and must be called several times per
// Duration. The caller reads now before the call.
func (l *Lease) Tick(ctx context.Context, now time.Time) {
	if _, held := l.Check(now); held {
		if now.Sub(l.lastRenewal) >= l.Duration/renewalsPerDuration {
			l.write(ctx, now, l.Holder)
		}
		return
	}
	l.token = 0
	o, err := l.Store.Get(ctx, l.Name)
	if err == nil {
		l.observe(o, now)
	}
	if err != nil && !isNotFound(err) {
		return
	}
	if isNotFound(err) {
		l.current = crstore.Object{}
	} else if !l.isAvailable(now) {
		return
	}
	l.write(ctx, now, l.Holder)
}

// observe records the object that a call started at now returned. The object may
// have changed after now, so the age of a new version counts from the start of
// the next read, which is certainly later than the change.
func (l *Lease) observe(o crstore.Object, now time.Time) {
	if o.Version != l.current.Version {
		l.unchangedSince = time.Time{}
	} else if l.unchangedSince.IsZero() {
		l.unchangedSince = now
	}
	l.current = o
}

// isAvailable reports whether the lease may be acquired: it was released, the
// object already names this run, or the holder didn't renew it for a Duration.
func (l *Lease) isAvailable(now time.Time) bool {
	switch string(l.current.Value) {
	case "", l.Holder:
		return true
	}
	return !l.unchangedSince.IsZero() && now.Sub(l.unchangedSince) >= l.Duration
}

// write acquires or renews the lease, or releases it if holder is empty. A write
// whose effect is unknown doesn't extend the lease.
func (l *Lease) write(ctx context.Context, now time.Time, holder string) {
	o := crstore.Object{Name: l.Name, Version: l.current.Version, Value: []byte(holder), WriteID: l.WriteID()}
	current, result := l.Store.Write(ctx, o)
	switch result {
	case crstore.Written:
		l.current = current
		l.unchangedSince = time.Time{}
		l.lastRenewal = now
		l.validUntil = now.Add(l.Duration - l.Margin)
		if l.token == 0 {
			// The version grows with every write, so a later holder gets a higher
			// token. A renewal keeps the token.
			l.token = current.Version
		}
	case crstore.Conflict:
		l.handleConflict(current, now)
	}
}

// handleConflict records the stored object after another write preceded this one.
// If the object names this run, an earlier write of this run whose answer didn't
// arrive has taken effect, and the next renewal updates that version.
func (l *Lease) handleConflict(current crstore.Object, now time.Time) {
	if current.Version == 0 {
		return
	}
	if string(current.Value) != l.Holder {
		l.token = 0
	}
	l.observe(current, now)
}

// Release gives up the lease if it is held, so that other instances needn't wait
// until it expires. The holder must have finished the operations that the lease
// protects.
func (l *Lease) Release(ctx context.Context, now time.Time) {
	if _, held := l.Check(now); !held {
		return
	}
	l.write(ctx, now, "")
	l.token = 0
}

// IsCandidate reports whether an instance competes for the lease with the name.
// The list of instances holds the usable ones. The parameter candidates says how many
// of them, in rendezvous order of the name, compete; this limits how many instances
// poll the object.
func IsCandidate(name, instance string, instances []string, candidates int) bool {
	key := crhash.Of(name)
	ownScore := crhash.Score(key, crhash.Of(instance), 1)
	higher := 0
	for _, other := range instances {
		if other != instance && crhash.Score(key, crhash.Of(other), 1) > ownScore {
			higher++
		}
	}
	return higher < candidates && slices.Contains(instances, instance)
}

func isNotFound(err error) bool { return errors.Is(err, crstore.ErrNotFound) }
