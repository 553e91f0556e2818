package crrecent_test

import (
	"fmt"

	"crocusrack/core/crrecent"
)

// A map with a Limit of 2 keeps at least the two most recently used entries.
func ExampleMap() {
	m := crrecent.Map[string, string]{Limit: 2}
	m.Put("chat-1", "noord-a")
	m.Put("chat-2", "noord-b")
	m.Put("chat-3", "noord-c")
	m.Get("chat-3")
	m.Put("chat-4", "noord-a")
	m.Put("chat-5", "noord-b")

	_, found1 := m.Get("chat-1")
	domain4, found4 := m.Get("chat-4")
	fmt.Println(found1, domain4, found4)
	// Output: false noord-a true
}
