package crversion

import (
	"time"

	"crocusrack/core/crliveness"
)

const (
	// maxListAge is the largest age of the list of endpoints of an instance that hears from others.
	// Those that watch the store read it anew each two seconds at least, as instances do that hear
	// from none.
	maxListAge = 2500 * time.Millisecond
	// RecentList is the age up to which a list is current for any instance.
	RecentList = 250 * time.Millisecond
	// echoTimeout is the age of the newest echo up to which an instance is in contact with others.
	// It spans four of their reports.
	echoTimeout = 900 * time.Millisecond
)

// Knowledge is how recent the list of endpoints of an instance is.
type Knowledge struct {
	// HasList is false if there is no evidence of the list, which else has the age ListAge.
	HasList bool
	ListAge time.Duration
	// HasEcho is false if no other instance has returned a stamp of this one. The newest one that was
	// returned has the age EchoAge.
	HasEcho bool
	EchoAge time.Duration
	// Behind is true if another instance has told of a newer list since this one was read.
	Behind  bool
	Contact crliveness.Contact
}

// Current reports whether other instances know of no version of a service for longer than news take
// to reach this one. An instance that was cut off or stood still may have a list without a version at
// which streams have begun elsewhere meanwhile.
func (k Knowledge) Current() bool {
	switch {
	case !k.HasList:
		return false
	case k.ListAge <= RecentList:
		return true
	case k.Behind:
		return false
	case k.Contact.Known == 1:
		return k.ListAge <= maxListAge
	case !k.HasEcho || k.EchoAge > echoTimeout:
		return false
	case k.ListAge > maxListAge:
		// The store is out of reach. An instance that isn't heard from may reach it.
		return k.Contact.Complete()
	}
	return k.Contact.Majority()
}
