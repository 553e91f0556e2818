package cradmit

import "time"

const (
	// refusalWindow is how long a refused request counts as demand.
	refusalWindow = time.Second
	// maxRefusals is the maximum number of refused requests that are tracked per shard.
	maxRefusals = 1024
)

// counterCells is the number of cells of a chatCounter. It is a power of two. Each cell
// takes 2 bytes.
const counterCells = 4096

// chatCounter estimates the number of distinct chats in a multiset of requests. Chats
// whose hashes share a cell count as one, so the estimate is never too high.
type chatCounter struct {
	cells [counterCells]uint16
	count int
}

func (d *chatCounter) add(chat uint64) {
	c := &d.cells[chat%counterCells]
	if *c == 0 {
		d.count++
	}
	*c++
}

func (d *chatCounter) remove(chat uint64) {
	c := &d.cells[chat%counterCells]
	*c--
	if *c == 0 {
		d.count--
	}
}

// refusals is a ring buffer of the chats of recently refused requests of a shard, in
// order of time.
type refusals struct {
	ring  []refusedChat
	first int
	count int
}

type refusedChat struct {
	chat uint64
	at   time.Time
}

// add records a refusal and counts its chat in d. A full buffer drops its oldest entry.
func (f *refusals) add(now time.Time, chat uint64, d *chatCounter) {
	if f.ring == nil {
		f.ring = make([]refusedChat, maxRefusals)
	}
	if f.count == maxRefusals {
		f.removeOldest(d)
	}
	f.ring[(f.first+f.count)%maxRefusals] = refusedChat{chat, now}
	f.count++
	d.add(chat)
}

// expire removes the refusals that are older than refusalWindow.
func (f *refusals) expire(now time.Time, d *chatCounter) {
	for f.count > 0 && now.Sub(f.ring[f.first].at) >= refusalWindow {
		f.removeOldest(d)
	}
}

func (f *refusals) removeOldest(d *chatCounter) {
	d.remove(f.ring[f.first].chat)
	f.first = (f.first + 1) % maxRefusals
	f.count--
}
