package crstore

import (
	"context"
	"errors"
	"testing"
)

func TestWrite(t *testing.T) {
	errConnection := errors.New("connection lost")
	create := Object{Name: "n", WriteID: "own"}
	update := Object{Name: "n", Version: 3, WriteID: "own"}
	tests := []struct {
		name     string
		write    Object
		writeErr error
		current  Object
		readErr  error
		want     Result
	}{
		{"confirmed", create, nil, Object{}, nil, Written},
		{"refused", create, ErrRefused, Object{}, nil, NotWritten},
		{"name exists", create, ErrExists, Object{Version: 2, WriteID: "other"}, nil, Conflict},
		{"name exists from own repeated call", create, ErrExists, Object{Version: 2, WriteID: "own"}, nil, Written},
		{"name exists, read fails", create, ErrExists, Object{}, errConnection, Conflict},
		{"answer lost, written", create, errConnection, Object{Version: 2, WriteID: "own"}, nil, Written},
		{"answer lost, other write first", create, errConnection, Object{Version: 2, WriteID: "other"}, nil, Conflict},
		{"answer lost, object not found", create, errConnection, Object{}, ErrNotFound, Unknown},
		{"answer lost, read fails", create, errConnection, Object{}, errConnection, Unknown},
		{"update answer lost, written", update, errConnection, Object{Version: 4, WriteID: "own"}, nil, Written},
		{"update answer lost, old version current", update, errConnection, Object{Version: 3, WriteID: "old"}, nil, Unknown},
		{"update conflicts with other write", update, ErrConflict, Object{Version: 5, WriteID: "other"}, nil, Conflict},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			write := func(context.Context, Object) (uint64, error) { return 7, tt.writeErr }
			s := Store{
				Create: write,
				Update: write,
				Get:    func(context.Context, string) (Object, error) { return tt.current, tt.readErr },
			}
			if _, got := s.Write(context.Background(), tt.write); got != tt.want {
				t.Errorf("Write = %v, want %v", got, tt.want)
			}
		})
	}
}
