package crpace_test

import (
	"fmt"
	"time"

	"crocusrack/core/crpace"
)

// A service's engines take 40 ms and a tenth of a millisecond for each token of a
// prompt; what was seen of short and long prompts tells how long one in between
// takes.
func Example() {
	var table crpace.Table
	now := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	for i := range 40 {
		read := 250 * i
		table.Observe(now, "llm", 1, crpace.Job{Read: read}, 40*time.Millisecond+time.Duration(read)*100*time.Microsecond)
	}
	speed := table.Speed(now, "llm")
	fmt.Println(speed.Forecast(1, crpace.Job{Read: 3000}).Total().Round(10 * time.Millisecond))
	// Output: 340ms
}
