package crstream_test

import (
	"bytes"
	"testing"

	"github.com/google/go-cmp/cmp"

	"crocusrack/core/crstream"
)

const threeEvents = "id: 1\ndata: a\n\nid: 2\nx-weight: 3\ndata: b\n\nid: 3\ndata: c\n\n"

// TestSplit splits a stream at every position. The output must consist of complete events,
// and the last ID must be that of the last one returned.
func TestSplit(t *testing.T) {
	ends := map[int]uint64{0: 0, 15: 1, 42: 2, len(threeEvents): 3}
	for at := range len(threeEvents) + 1 {
		var s crstream.Splitter
		out := write(t, &s, threeEvents[:at])
		id, ok := s.Last()
		want, complete := ends[len(out)]
		if !complete || id != want || ok != (want > 0) {
			t.Fatalf("cut at %d: %d bytes and id %d", at, len(out), id)
		}
		out = append(out, write(t, &s, threeEvents[at:])...)
		if diff := cmp.Diff(threeEvents, string(out)); diff != "" {
			t.Fatalf("cut at %d (-want +got):\n%s", at, diff)
		}
	}
}

func write(t *testing.T, s *crstream.Splitter, text string) []byte {
	t.Helper()
	out, err := s.Write([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return out
}

// TestLimit checks that an incomplete event is buffered up to the limit, and that the
// complete events before it are returned.
func TestLimit(t *testing.T) {
	for _, c := range []struct {
		text string
		out  int
		err  error
	}{
		{"id: 1\n\n12345678", 7, nil},
		{"id: 1\n\n123456789", 7, crstream.ErrTooLong},
		{"123456789\n\n", 11, nil},
	} {
		s := crstream.Splitter{Limit: 8}
		out, err := s.Write([]byte(c.text))
		if len(out) != c.out || err != c.err {
			t.Errorf("%q: %d bytes and %v, want %d and %v", c.text, len(out), err, c.out, c.err)
		}
	}
}

// TestInside guards against streams that end inside an event and are taken for complete, and against
// complete ones that are taken for broken off.
func TestInside(t *testing.T) {
	for text, want := range map[string]bool{
		"": false, "id: 1\n\n": false, "id: 1\n\n\n": false, "id: 1\n\n\r\n": false, "id: 1\r\n\r\n": false, "id: 1\r\r": false,
		"id: 1\n\n: end\n": false, "id: 1\n\n:\r\n": false, ": begin\n": false,
		"i": true, "id: 1\n": true, "id: 1\r\n": true, "id: 1\r": true, "id: 1\n\nd": true, "id: 1\n\ndata: 1\n": true,
		"id: 1\n\n: en": true, "id: 1\n\n: end\nid: 2\n": true,
	} {
		var s crstream.Splitter
		write(t, &s, text)
		if got := s.Inside(); got != want {
			t.Errorf("%q: inside is %v, want %v", text, got, want)
		}
	}
}

func TestRest(t *testing.T) {
	var s crstream.Splitter
	write(t, &s, "id: 7\ndata: a\n\nid: 8\nda")
	if got := string(s.Rest()); got != "id: 8\nda" {
		t.Errorf("rest %q", got)
	}
	if id, _ := s.Last(); id != 7 {
		t.Errorf("last id %d, want 7", id)
	}
}

func FuzzSplitter(f *testing.F) {
	f.Add([]byte(threeEvents), 5)
	f.Add([]byte("id:9\r\n\r\n"), 1)
	f.Fuzz(func(t *testing.T, stream []byte, at int) {
		if at < 0 || at > len(stream) {
			return
		}
		var s crstream.Splitter
		out := append(write(t, &s, string(stream[:at])), write(t, &s, string(stream[at:]))...)
		if got := append(out, s.Rest()...); !bytes.Equal(got, stream) {
			t.Errorf("%q came out as %q", stream, got)
		}
	})
}
