package crquarantine_test

import (
	"fmt"
	"testing"

	"crocusrack/core/crquarantine"
)

// BenchmarkLossBesideQuarantine measures what it costs to record the 600 requests that waited
// at endpoints that are lost at the same moment, while a part is quarantined.
func BenchmarkLossBesideQuarantine(b *testing.B) {
	for _, n := range []int{8, 64, 256} {
		b.Run(fmt.Sprint(n, " parts"), func(b *testing.B) {
			var lost []crquarantine.Crash
			for k := range 600 {
				var ids []string
				for i := range n {
					ids = append(ids, fmt.Sprint("own-", k, "-", i))
				}
				lost = append(lost, crash(5000, uint64(1000+k), uint64(100+k/20), ids...))
			}
			for b.Loop() {
				var table crquarantine.Table
				table.RecordAnswer(at(2000), service, nil)
				for i := range 3 {
					table.RecordCrash(at(1000*i), crash(1000*i, uint64(i), uint64(i), "deadly"))
				}
				for _, c := range lost {
					table.RecordCrash(c.At, c)
				}
				if _, blocked := table.Blocked(at(6000), parts("deadly")); !blocked {
					b.Fatal("the part isn't quarantined")
				}
			}
		})
	}
}
