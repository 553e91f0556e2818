package crversion

import "time"

const (
	// takeUpTime is the time within which callers take up the streams of an instance that was lost,
	// after they have noticed its silence.
	takeUpTime = 8 * time.Second
	// maxWait is the longest time for which a version waits for calm.
	maxWait = 12 * time.Second
	// tellTime is the time in which instances learn that a version is listed and tell of the streams
	// under way.
	tellTime = 600 * time.Millisecond
	// newsMargin covers the time from a change to the next message.
	newsMargin = 300 * time.Millisecond
)

// SpreadTime returns the time from the record of a version until streams may begin at it. An instance
// that hasn't heard of it by then counts as out of contact, after newsTime, and looks for itself.
func SpreadTime(newsTime time.Duration) time.Duration { return newsTime + newsMargin }

// Newcomer is a version that is listed beside others of its service, and at which no stream begins yet.
type Newcomer struct {
	// Listed is the time since it was listed first.
	Listed time.Duration
	// Undisturbed is the time since an instance was last lost, started or came back. Others weren't
	// told of the streams that began there before.
	Undisturbed time.Duration
	// LossTime is the time after which a lost instance is known to be lost.
	LossTime time.Duration
	// Slots are those of the service's endpoints that take requests, and RecordedSlots those of the
	// ones at recorded versions among them.
	Slots, RecordedSlots int
}

// Due reports whether streams should begin at the version. Until then, a stream that nobody knows began
// at an earlier one and can go on. After that it is refused.
func (n Newcomer) Due() bool {
	switch {
	case n.Listed < tellTime+n.LossTime:
		// An instance may have been lost before it told of its streams.
		return false
	case 2*n.RecordedSlots < n.Slots:
		return true
	}
	return n.Undisturbed >= takeUpTime || n.Listed >= maxWait
}
