package crengine

import (
	"context"
	"sort"
	"time"

	"crocusrack/schema/crendpoint"
	"crocusrack/stand/crfault"

	"connectrpc.com/connect"
)

// keptEvents is the number of cache events that a late subscriber can read.
const keptEvents = 1024

// eventLog holds the latest cache events.
type eventLog struct {
	sequence uint64
	kept     []timedEvent
	changed  chan struct{} // closed and replaced at every event
}

type timedEvent struct {
	at    time.Time
	event *crendpoint.CacheEvent
}

func (l *eventLog) init() { l.changed = make(chan struct{}) }

// add gives the event its sequence.
func (l *eventLog) add(event *crendpoint.CacheEvent) {
	l.sequence++
	event.Sequence = l.sequence
	l.kept = append(l.kept, timedEvent{time.Now(), event})
	if over := len(l.kept) - keptEvents; over > 0 {
		l.kept = l.kept[over:]
	}
	close(l.changed)
	l.changed = make(chan struct{})
}

func (l *eventLog) clear(epoch uint64) {
	l.add(&crendpoint.CacheEvent{Epoch: epoch, Cleared: true})
}

// after returns the first kept event behind a sequence, if there is one.
func (l *eventLog) after(sequence uint64) (timedEvent, bool) {
	i := sort.Search(len(l.kept), func(i int) bool {
		return l.kept[i].event.GetSequence() > sequence
	})
	if i == len(l.kept) {
		return timedEvent{}, false
	}
	return l.kept[i], true
}

// CacheEvents sends the events behind a sequence until the client leaves.
func (h handler) CacheEvents(ctx context.Context, r *connect.Request[crendpoint.CacheEventsRequest], stream *connect.ServerStream[crendpoint.CacheEvent]) error {
	e := h.engine
	if err := e.faults.Pause(ctx); err != nil {
		return err
	}
	sequence := r.Msg.GetAfterSequence()
	for {
		e.mu.Lock()
		next, ok := e.events.after(sequence)
		changed := e.events.changed
		e.mu.Unlock()
		if !ok {
			select {
			case <-changed:
				continue
			case <-ctx.Done():
				return ctx.Err()
			}
		}
		if err := crfault.Sleep(ctx, time.Until(next.at.Add(e.EventLag))); err != nil {
			return err
		}
		sequence = next.event.GetSequence()
		if e.dropsEvent(sequence) {
			continue
		}
		if err := stream.Send(next.event); err != nil {
			return err
		}
	}
}

func (e *Engine) dropsEvent(sequence uint64) bool {
	if e.faults.Faults().GetDropCacheEvents() {
		return true
	}
	return e.EventGap != 0 && sequence%e.EventGap == 0
}
