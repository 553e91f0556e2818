package crfleet

import (
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/zap"

	"crocusrack/core/crmember"
)

// TestChangedEndsWithTheNewest changes the members while the call of OnUsableChanged for an
// earlier change still runs. The last call of OnUsableChanged must have the newest members.
func TestChangedEndsWithTheNewest(t *testing.T) {
	var last []string
	first := true
	entered, release := make(chan struct{}), make(chan struct{})
	f := &Fleet{
		Table:              &crmember.Table{Self: crmember.Member{Name: "noord-a-1", Incarnation: 1}},
		Log:                zap.NewNop(),
		Catalogue:          func() (uint64, uint64) { return 0, 0 },
		OnCatalogueVersion: func(crmember.Member, uint64, uint64) {},
		OnUsableChanged: func(usable []crmember.Member) {
			if first {
				first = false
				close(entered)
				<-release
			}
			last = nil
			for _, m := range usable {
				last = append(last, m.Name)
			}
		},
	}
	gossip := func(i int) {
		name := fmt.Sprint("noord-b-", i)
		m := crmember.Member{Name: name, Incarnation: 1, Run: uint64(i), Peer: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80)}
		message := crmember.Message{From: name, Incarnation: 1, Members: []crmember.Member{m}}
		if _, err := f.Gossip(t.Context(), message.Proto()); err != nil {
			t.Error(err)
		}
	}
	var messages sync.WaitGroup
	messages.Go(func() { gossip(1) })
	<-entered
	messages.Go(func() { gossip(2) })
	for _, known := f.Member("noord-b-2"); !known; _, known = f.Member("noord-b-2") {
		time.Sleep(time.Millisecond)
	}
	// If calls of OnUsableChanged could overlap, the second change would be reported now.
	time.Sleep(10 * time.Millisecond)
	close(release)
	messages.Wait()
	if diff := cmp.Diff([]string{"noord-a-1", "noord-b-1", "noord-b-2"}, last); diff != "" {
		t.Errorf("the members in the last call of Changed differ (-want +got):\n%s", diff)
	}
}
