package crretry

import "time"

const (
	// StopTime is how long a server may take to stop a run whose connection was closed. The
	// next run of a stream begins after it.
	StopTime = 400 * time.Millisecond
	// moveShare is the largest share of the time left that the rest of a stream may take at
	// another endpoint. The remainder covers the error of the estimate.
	moveShare = 0.8
	// waitShare is the share of the time left up to which a stream stays because a later move
	// would still do. Its engine may get faster meanwhile, and each move costs another engine
	// a read and the caller a pause.
	waitShare = 0.6
)

// Move is a stream that may continue at another endpoint.
type Move struct {
	// Events is the number of events that are still to come.
	Events int
	// Here and There are the times between two events at the endpoint that runs the stream
	// and at the other one.
	Here, There time.Duration
	// First is the time to the first event at the other endpoint.
	First time.Duration
	// Left is the time until the caller's deadline.
	Left time.Duration
}

// Late reports whether the stream will not complete in time where it runs.
func (m Move) Late() bool { return m.Here*time.Duration(m.Events) > m.Left }

// there returns how long the rest of the stream takes at the other endpoint.
func (m Move) there() time.Duration { return StopTime + m.First + m.There*time.Duration(m.Events) }

// Helps reports whether the stream will not complete in time where it runs, but will at the
// other endpoint.
func (m Move) Helps() bool {
	return m.Late() && m.There < m.Here && m.there() <= share(moveShare, m.Left)
}

// Due reports whether the move helps and a later one might not.
func (m Move) Due() bool { return m.Helps() && m.there() > share(waitShare, m.Left) }

func share(s float64, d time.Duration) time.Duration { return time.Duration(s * float64(d)) }
