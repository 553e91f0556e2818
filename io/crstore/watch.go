package crstore

import (
	"context"
	"errors"
	"time"

	"crocusrack/schema/crplatform"

	"connectrpc.com/connect"
)

var errEnded = errors.New("the platform ended the watch")

// Watch follows the objects whose names begin with a prefix. Its fields are set
// before Run. Its functions are called one at a time.
type Watch struct {
	Client *Client
	Prefix string
	// OnList gets all objects at the start, and again after a gap in the
	// changes. It replaces what was known before.
	OnList func(objects []*crplatform.Object)
	// OnChange gets each change behind the last list, in order. The value of a
	// deleted object is empty.
	OnChange func(object *crplatform.Object, deleted bool)
	// OnError, if set, gets the reason of each interruption.
	OnError func(err error)

	version uint64
	listed  bool
}

// Run follows the objects until ctx ends and returns the error of ctx. It
// resumes after the last version that it has seen.
func (w *Watch) Run(ctx context.Context) error {
	w.Client.setup()
	for retry := 0; ; retry++ {
		start := time.Now()
		err := w.follow(ctx)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if connect.CodeOf(err) == connect.CodeOutOfRange {
			w.listed = false
		}
		if w.OnError != nil {
			w.OnError(err)
		}
		if time.Since(start) > longestBackoff {
			retry = 0
		}
		if err := w.Client.backoff.Sleep(ctx, retry); err != nil {
			return err
		}
	}
}

// follow lists if need be and reads changes until the stream breaks.
func (w *Watch) follow(ctx context.Context) error {
	if !w.listed {
		objects, version, err := w.Client.List(ctx, w.Prefix)
		if err != nil {
			return err
		}
		w.version, w.listed = version, true
		w.OnList(objects)
	}
	if err := w.Client.reads.Wait(ctx); err != nil {
		return err
	}
	stream, err := w.Client.objects.Watch(ctx, connect.NewRequest(&crplatform.WatchRequest{
		Prefix:       w.Prefix,
		AfterVersion: w.version,
	}))
	w.Client.called(KindWatch, err)
	if err != nil {
		return err
	}
	defer stream.Close()
	for stream.Receive() {
		change := stream.Msg()
		if change.GetObject().GetVersion() <= w.version {
			continue
		}
		w.version = change.GetObject().GetVersion()
		w.OnChange(change.GetObject(), change.GetDeleted())
	}
	if err := stream.Err(); err != nil {
		return err
	}
	return errEnded
}
