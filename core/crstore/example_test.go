package crstore_test

import (
	"context"
	"errors"
	"fmt"

	"crocusrack/core/crstore"
)

// The store accepts a write, but its answer is lost. Write reads the object back
// and recognizes it by the write id.
func ExampleStore_Write() {
	var stored crstore.Object
	s := crstore.Store{
		Create: func(_ context.Context, o crstore.Object) (uint64, error) {
			stored = o
			stored.Version = 7
			return 0, errors.New("connection lost")
		},
		Get: func(context.Context, string) (crstore.Object, error) { return stored, nil },
	}
	current, result := s.Write(context.Background(), crstore.Object{
		Name:    "lease/taalpers",
		Value:   []byte("noord-a-1"),
		WriteID: "w-1",
	})
	fmt.Println(result, current.Version)
	// Output: written 7
}
