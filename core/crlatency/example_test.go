package crlatency_test

import (
	"fmt"
	"time"

	"crocusrack/core/crlatency"
)

// The engines of the service have a time to first token of 40 ms plus 0.1 ms per token of
// the prompt. From measurements of other lengths the time for 3000 tokens is estimated.
func Example() {
	var table crlatency.Table
	now := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	for i := range 40 {
		read := 250 * i
		table.Observe(now, "llm", 1, crlatency.Job{PrefillTokens: read}, 40*time.Millisecond+time.Duration(read)*100*time.Microsecond)
	}
	speed := table.Speed(now, "llm")
	fmt.Println(speed.Forecast(1, crlatency.Job{PrefillTokens: 3000}).Total().Round(10 * time.Millisecond))
	// Output: 340ms
}
