package crstore

import (
	"context"
	"errors"
	"fmt"
	"time"

	"crocusrack/schema/crplatform"

	"connectrpc.com/connect"
)

var (
	// ErrNotFound tells that no object has the name.
	ErrNotFound = errors.New("no such object")
	// ErrUnavailable tells that the platform gave no answer.
	ErrUnavailable = errors.New("the platform is unavailable")
	// ErrInvalid tells that the platform refused the call as wrong.
	ErrInvalid = errors.New("the platform refused the call")
)

// Get returns the object of that name. Errors wrap ErrNotFound, ErrUnavailable
// or ErrInvalid.
func (c *Client) Get(ctx context.Context, name string) (*crplatform.Object, error) {
	c.setup()
	response, err := read(ctx, c, c.objects.Get, &crplatform.GetRequest{Name: name})
	return response.GetObject(), err
}

// List returns the objects whose names begin with the prefix, by name, and the
// store's version at that time. Errors are those of Get.
func (c *Client) List(ctx context.Context, prefix string) ([]*crplatform.Object, uint64, error) {
	c.setup()
	response, err := read(ctx, c, c.objects.List, &crplatform.ListRequest{Prefix: prefix})
	return response.GetObjects(), response.GetVersion(), err
}

// Instances returns the platform's list of instances and the time of it, which
// lags. Errors are those of Get.
func (c *Client) Instances(ctx context.Context) ([]*crplatform.Instance, time.Time, error) {
	c.setup()
	response, err := read(ctx, c, c.instances.Instances, &crplatform.InstancesRequest{})
	return response.GetInstances(), response.GetAt().AsTime(), err
}

// read makes a call and repeats it while that may help.
func read[Q, A any](ctx context.Context, c *Client, method func(context.Context, *connect.Request[Q]) (*connect.Response[A], error), request *Q) (*A, error) {
	for try := 0; ; try++ {
		response, err := call(ctx, c, c.reads, method, request)
		if err == nil {
			return response, nil
		}
		if !retryable(err) || try+1 >= c.Tries {
			return nil, readError(err)
		}
		if c.backoff.Sleep(ctx, try) != nil {
			return nil, readError(err)
		}
	}
}

func readError(err error) error {
	kind := ErrUnavailable
	switch {
	case connect.CodeOf(err) == connect.CodeNotFound:
		kind = ErrNotFound
	case !retryable(err):
		kind = ErrInvalid
	}
	return fmt.Errorf("%w: %w", kind, err)
}
