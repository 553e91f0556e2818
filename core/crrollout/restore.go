package crrollout

import "time"

// restoredDuration is the time after a restore of the store in which orders may be missing or
// be written again, and recorded states be lost.
const restoredDuration = 15 * time.Second

// StoreRestored tells the table that the store came back from a copy that lacks its last
// changes.
func (t *Table) StoreRestored(now time.Time) { t.restoredAt = now }

func (t *Table) isRestored(now time.Time) bool {
	return !t.restoredAt.IsZero() && now.Sub(t.restoredAt) < restoredDuration
}

// repeats reports whether an order asks for the same as the one that is followed.
func (o *rollout) repeats(other Order) bool {
	return o.Target == other.Target && o.Duration == other.Duration
}
