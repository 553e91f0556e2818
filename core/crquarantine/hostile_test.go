package crquarantine_test

import (
	"encoding/binary"
	"fmt"
	"testing"
	"time"

	"crocusrack/core/crquarantine"
)

const (
	// mostKept bounds the crashes that a table keeps, and mostParts the parts of each.
	mostKept  = 512
	mostParts = 1024
)

// FuzzApply feeds evidence of any kind to a table. It must keep its bounds after each call.
func FuzzApply(f *testing.F) {
	f.Add([]byte{1, 2, 3, 4, 5, 6, 7, 8, 9}, uint16(3000), uint16(1), int64(0))
	f.Add([]byte{7, 7, 7}, uint16(700), uint16(5000), int64(time.Hour))
	f.Add([]byte{0, 255}, uint16(1), uint16(60000), int64(-3*time.Hour))
	f.Add([]byte{9}, uint16(600), uint16(40), int64(1<<62))
	f.Fuzz(func(t *testing.T, data []byte, crashes, size uint16, shift int64) {
		var table crquarantine.Table
		draw := func(i int) uint64 {
			if len(data) == 0 {
				return uint64(i)
			}
			return uint64(data[i%len(data)]) * uint64(i/len(data)+1)
		}
		own := make([]crquarantine.Part, min(int(size), 300_000/(int(crashes)+1)))
		for k := range own {
			own[k] = crquarantine.Part(draw(k))
		}
		var e crquarantine.Evidence
		for i := range min(int(crashes), 1500) {
			c := crquarantine.Crash{At: at(int(draw(i))).Add(time.Duration(shift)), Request: draw(i + 1), Endpoint: draw(i + 2), Service: service, Parts: own}
			if i%3 == 0 {
				c.Parts = append([]crquarantine.Part{crquarantine.Part(i)}, own...)
			}
			e.Crashes = append(e.Crashes, c)
			if i%5 == 0 {
				e.Answers = append(e.Answers, crquarantine.Answer{Part: crquarantine.Part(draw(i)), At: c.At})
			}
		}
		now := at(1000)
		for range 2 {
			table.Apply(now, e)
			if n, parts := crquarantine.Held(&table); n > mostKept || parts > mostKept*mostParts {
				t.Errorf("%d crashes with %d parts kept", n, parts)
			}
			table.News(now)
			table.Differs(now)
			table.All()
			table.Blocked(now, own)
			table.Hash(now)
			table.RecordAnswer(now, service, own)
			now = now.Add(3 * time.Hour)
		}
	})
}

// TestKeptEvidenceIsBounded guards against memory that grows with the evidence that other
// instances send or with the prompts of callers.
func TestKeptEvidenceIsBounded(t *testing.T) {
	var table crquarantine.Table
	id := uint64(0)
	for range 30 {
		var e crquarantine.Evidence
		for range 100 {
			id++
			c := crquarantine.Crash{At: at(int(id)), Request: id, Endpoint: id}
			for k := range uint64(5000) {
				c.Parts = append(c.Parts, crquarantine.Part(id*10_000+k))
			}
			e.Crashes = append(e.Crashes, c)
		}
		table.Apply(at(int(id)), e)
		if n, parts := crquarantine.Held(&table); n > mostKept || parts > mostKept*mostParts {
			t.Fatalf("%d crashes with %d parts kept", n, parts)
		}
	}
}

// evidence returns crashes of prompts with five shared and one own part.
func evidence(n int) crquarantine.Evidence {
	var e crquarantine.Evidence
	for i := range n {
		c := crash(200*i, uint64(i), uint64(i/2), "caller", "a", "b", "c", "d")
		c.Parts = binaryPart(c.Parts, i)
		e.Crashes = append(e.Crashes, c)
	}
	return e
}

func binaryPart(list []crquarantine.Part, i int) []crquarantine.Part {
	return append(list, crquarantine.Part(binary.BigEndian.Uint64([]byte(fmt.Sprintf("%08d", i)))))
}

// BenchmarkRequest measures what each request costs: two checks and one answer.
func BenchmarkRequest(b *testing.B) {
	for _, crashes := range []int{0, 20, 512} {
		b.Run(fmt.Sprint(crashes, " crashes"), func(b *testing.B) {
			var table crquarantine.Table
			table.Apply(at(200*crashes), evidence(crashes))
			list := parts("caller-2", "e", "f", "g", "h")
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now := at(200*crashes + i)
				table.Blocked(now, list)
				table.Blocked(now, list)
				table.RecordAnswer(now, service, list)
			}
		})
	}
}

// BenchmarkUpdate measures how long a crash takes to record when many are known.
func BenchmarkUpdate(b *testing.B) {
	for _, crashes := range []int{20, 512} {
		b.Run(fmt.Sprint(crashes, " crashes"), func(b *testing.B) {
			var table crquarantine.Table
			table.Apply(at(200*crashes), evidence(crashes))
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				c := crash(200*crashes+i/100, uint64(1000+i), uint64(1000+i), "caller", "a", "b", "c", "d")
				table.RecordCrash(c.At, c)
			}
		})
	}
}
