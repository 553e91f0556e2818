package crforward

import (
	"context"
	"time"

	"crocusrack/core/crgrant"
	"crocusrack/core/crroute"
	"crocusrack/core/crversion"
)

// findVersion finds out which version began the stream that a caller takes up again. It returns false
// if nobody knows, and the stream may have begun at another version than would answer now.
func (x *exchange) findVersion(ctx context.Context) bool {
	if x.request.LastEvent == "" || x.route.Kind != crroute.Stream {
		return true
	}
	v, how := x.State.TakeUp(time.Now(), x.service.Name, x.request.Resumes)
	x.trace.takeUp = how
	x.trace.versionsAge, _ = x.State.VersionsAge(time.Now())
	if how == crgrant.TakeUpOutdated && x.ReadVersions != nil {
		if err := x.ReadVersions(ctx); err != nil {
			x.trace.lastErr = err
		}
		v, how = x.State.TakeUp(time.Now(), x.service.Name, x.request.Resumes)
	}
	found := how == crgrant.TakeUpKnown || how == crgrant.TakeUpOnly
	if !found && x.FindStream != nil && x.request.Resumes != "" {
		v = x.FindStream(ctx, x.service.Name, x.request.Resumes)
	}
	x.version.Store(uint32(v))
	x.unrecorded.Store(how == crgrant.TakeUpOnly)
	return v != 0 || found
}

// outdatedRetryAfter is the Retry-After time of a stream that is refused because this instance is out of
// step. Others are likely to know its version.
const outdatedRetryAfter = 50 * time.Millisecond

// versionRetryAfter returns the Retry-After time of a stream whose version wasn't found.
func (x *exchange) versionRetryAfter() time.Duration {
	if x.trace.takeUp == crgrant.TakeUpOutdated {
		return outdatedRetryAfter
	}
	return defaultRetryAfter
}

// beginsAt records that an endpoint made the first event of the stream that is known here. From
// then on, the stream only goes on at endpoints of its version.
func (x *exchange) beginsAt(g *crgrant.Grant) {
	if !x.version.CompareAndSwap(0, uint32(crversion.Of(g.Endpoint.Version))) && !x.unrecorded.CompareAndSwap(true, false) {
		return
	}
	id := x.request.ID
	if x.request.LastEvent != "" {
		id = x.request.Resumes
	}
	if id != "" {
		g.BeginStream(time.Now(), id)
	}
}
