package crversion_test

import (
	"testing"
	"time"

	"crocusrack/core/crliveness"
	"crocusrack/core/crversion"
)

// TestCurrent guards against lists that are taken for current by an instance that is out of step, and
// against reads of the store by one that isn't.
func TestCurrent(t *testing.T) {
	const ms = time.Millisecond
	for _, c := range []struct {
		name        string
		list, echo  time.Duration
		heard, size int
		want        bool
	}{
		{"in step", 2400 * ms, 400 * ms, 8, 8, true},
		{"a minority is silent", 2400 * ms, 400 * ms, 5, 8, true},
		{"half of all are silent", 1000 * ms, 400 * ms, 4, 8, false},
		{"half of all are silent, but the list was just read", 200 * ms, 400 * ms, 4, 8, true},
		{"stood still", 1900 * ms, 1900 * ms, 8, 8, false},
		{"nobody reaches the store", time.Hour, 400 * ms, 8, 8, true},
		{"one may reach the store", 2600 * ms, 400 * ms, 7, 8, false},
		{"alone", 2400 * ms, 0, 1, 1, true},
		{"alone, without the store", 2600 * ms, 0, 1, 1, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			k := crversion.Knowledge{
				HasList: true, ListAge: c.list, HasEcho: c.echo > 0, EchoAge: c.echo,
				Contact: crliveness.Contact{Heard: c.heard, Known: c.size},
			}
			if got := k.Current(); got != c.want {
				t.Errorf("current is %t, want %t", got, c.want)
			}
		})
	}
	behind := crversion.Knowledge{HasList: true, ListAge: time.Second, HasEcho: true, Behind: true, Contact: crliveness.Contact{Heard: 3, Known: 3}}
	if behind.Current() {
		t.Error("a list is current although another instance has a newer one")
	}
	if (crversion.Knowledge{Contact: crliveness.Contact{Heard: 3, Known: 3}, HasEcho: true}).Current() {
		t.Error("a list that was never read is current")
	}
}
