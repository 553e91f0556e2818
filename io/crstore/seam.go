package crstore

import (
	"context"
	"errors"
	"fmt"

	core "crocusrack/core/crstore"
	"crocusrack/schema/crplatform"
)

// Store returns the calls of the client in the form that decisions use.
func (c *Client) Store() core.Store {
	return core.Store{
		Get: func(ctx context.Context, name string) (core.Object, error) {
			o, err := c.Get(ctx, name)
			switch {
			case errors.Is(err, ErrNotFound):
				return core.Object{}, core.ErrNotFound
			case err != nil:
				return core.Object{}, err
			}
			return object(o), nil
		},
		Create: func(ctx context.Context, o core.Object) (uint64, error) {
			return written(c.Create(ctx, message(o)), core.ErrExists)
		},
		Update: func(ctx context.Context, o core.Object) (uint64, error) {
			return written(c.Update(ctx, message(o)), core.ErrConflict)
		},
		Delete: func(ctx context.Context, name string, version uint64) error {
			_, err := written(c.Delete(ctx, name, version), core.ErrConflict)
			return err
		},
		List: func(ctx context.Context, prefix string) ([]core.Object, error) {
			messages, _, err := c.List(ctx, prefix)
			if err != nil {
				return nil, err
			}
			list := make([]core.Object, len(messages))
			for i, m := range messages {
				list[i] = object(m)
			}
			return list, nil
		},
	}
}

func object(m *crplatform.Object) core.Object {
	return core.Object{Name: m.Name, Version: m.Version, Value: m.Value, WriteID: m.WriteId}
}

func message(o core.Object) *crplatform.Object {
	return &crplatform.Object{Name: o.Name, Version: o.Version, Value: o.Value, WriteId: o.WriteID}
}

// written turns the end of a write into the errors that decisions tell apart.
func written(w Write, conflict error) (uint64, error) {
	switch w.Outcome {
	case Done:
		return w.Version, nil
	case Conflict:
		return 0, conflict
	case Unavailable, Invalid:
		return 0, fmt.Errorf("%w: %w", core.ErrRefused, w.Err)
	}
	return 0, fmt.Errorf("the answer was lost: %w", w.Err)
}
