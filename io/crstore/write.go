package crstore

import (
	"context"
	"crypto/rand"
	"errors"

	"crocusrack/schema/crplatform"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"
)

// Outcome is how a write ended.
type Outcome int

const (
	// Done: the write took effect, once.
	Done Outcome = iota + 1
	// Conflict: the write had no effect, since the name was taken, is gone or
	// has another version.
	Conflict
	// Unavailable: the write had no effect, since the platform was down or out
	// of rate, or ctx ended first.
	Unavailable
	// Unknown: the write may have taken effect, or may yet.
	Unknown
	// Invalid: the platform refused the write as wrong.
	Invalid
)

var outcomeNames = map[Outcome]string{
	Done:        "done",
	Conflict:    "conflict",
	Unavailable: "unavailable",
	Unknown:     "unknown",
	Invalid:     "invalid",
}

// String returns the outcome in kebab case.
func (o Outcome) String() string { return outcomeNames[o] }

// Write is the end of a write.
type Write struct {
	Outcome Outcome
	// Version is that of the object when the outcome is Done. It is 0 for a
	// delete whose answer was lost.
	Version uint64
	// Current is the object as last read back. It is set only when an answer
	// was lost and the object exists.
	Current *crplatform.Object
	// Err is why the outcome isn't Done, for people.
	Err error
}

// Create writes a new object. The write gets an id of its own unless it has one.
func (c *Client) Create(ctx context.Context, object *crplatform.Object) Write {
	c.setup()
	object = withWriteID(object)
	w := writer{client: c, name: object.GetName(), id: object.GetWriteId()}
	w.send = func(ctx context.Context) (uint64, error) {
		response, err := call(ctx, c, c.writes, c.objects.Create, &crplatform.CreateRequest{Object: object})
		return response.GetVersion(), err
	}
	return w.write(ctx)
}

// Update replaces the version of the object that it names. The write gets an id
// of its own unless it has one other than the replaced version's.
func (c *Client) Update(ctx context.Context, object *crplatform.Object) Write {
	c.setup()
	object = withWriteID(object)
	w := writer{client: c, name: object.GetName(), id: object.GetWriteId()}
	w.send = func(ctx context.Context) (uint64, error) {
		response, err := call(ctx, c, c.writes, c.objects.Update, &crplatform.UpdateRequest{Object: object})
		return response.GetVersion(), err
	}
	return w.write(ctx)
}

// Delete removes a version of an object.
func (c *Client) Delete(ctx context.Context, name string, version uint64) Write {
	c.setup()
	w := writer{client: c, name: name, deletes: true}
	w.send = func(ctx context.Context) (uint64, error) {
		response, err := call(ctx, c, c.writes, c.objects.Delete, &crplatform.DeleteRequest{Name: name, Version: version})
		return response.GetVersion(), err
	}
	return w.write(ctx)
}

func withWriteID(object *crplatform.Object) *crplatform.Object {
	if object.GetWriteId() != "" {
		return object
	}
	object = proto.CloneOf(object)
	object.WriteId = rand.Text()
	return object
}

// writer carries one write to its outcome.
type writer struct {
	client  *Client
	name    string
	id      string
	deletes bool
	send    func(ctx context.Context) (version uint64, err error)

	lost    bool // whether an answer was lost
	current *crplatform.Object
}

// write sends the write until it has an answer that settles it. Each sending
// carries the same condition, so that at most one takes effect.
func (w *writer) write(ctx context.Context) Write {
	for try := 0; ; try++ {
		version, err := w.send(ctx)
		if err == nil {
			return Write{Outcome: Done, Version: version}
		}
		w.lost = w.lost || lost(err)
		if w.lost {
			if done, ok := w.readBack(ctx); ok {
				return done
			}
		}
		if !retryable(err) {
			return w.refused(err)
		}
		if try+1 >= w.client.Tries || w.client.backoff.Sleep(ctx, try) != nil {
			return w.end(Unavailable, err)
		}
	}
}

// readBack finds out whether the write whose answer was lost took effect. If
// the object doesn't show it, the write may still be on its way, so that only
// sending it again under the same condition can tell.
func (w *writer) readBack(ctx context.Context) (Write, bool) {
	object, err := w.client.Get(ctx, w.name)
	if errors.Is(err, ErrNotFound) {
		w.current = nil
		return Write{Outcome: Done}, w.deletes
	}
	if err != nil {
		return Write{}, false
	}
	w.current = object
	if !w.deletes && object.GetWriteId() == w.id {
		return Write{Outcome: Done, Version: object.GetVersion(), Current: object}, true
	}
	return Write{}, false
}

// refused ends a write that the platform answered with a refusal.
func (w *writer) refused(err error) Write {
	switch connect.CodeOf(err) {
	case connect.CodeAlreadyExists, connect.CodeAborted, connect.CodeNotFound:
		return w.end(Conflict, err)
	default:
		return w.end(Invalid, err)
	}
}

// end gives the outcome of a write without effect, unless an answer was lost:
// then an earlier sending may have taken effect and been overwritten since.
func (w *writer) end(outcome Outcome, err error) Write {
	if w.lost {
		outcome = Unknown
	}
	return Write{Outcome: outcome, Current: w.current, Err: err}
}
