package cradmit

// pool stores values under ids that are never reused. It allocates only if it holds
// more values than ever before.
type pool[T any] struct {
	slots []slot[T]
	free  []uint32
}

type slot[T any] struct {
	value T
	// generation is odd while the slot is in use.
	generation uint32
}

// take allocates a zero value and returns its id, which is never 0. The pointer is
// valid until the next call of take.
func (p *pool[T]) take() (uint64, *T) {
	var i uint32
	if n := len(p.free); n > 0 {
		i = p.free[n-1]
		p.free = p.free[:n-1]
	} else {
		i = uint32(len(p.slots))
		p.slots = append(p.slots, slot[T]{})
	}
	s := &p.slots[i]
	s.generation++
	return uint64(s.generation)<<32 | uint64(i), &s.value
}

// get returns the value with the id, or nil if the id isn't in use.
func (p *pool[T]) get(id uint64) *T {
	i := uint32(id)
	if int(i) >= len(p.slots) || id>>32&1 == 0 {
		return nil
	}
	if s := &p.slots[i]; uint64(s.generation) == id>>32 {
		return &s.value
	}
	return nil
}

// put releases the value with the id, which must be in use.
func (p *pool[T]) put(id uint64) {
	i := uint32(id)
	s := &p.slots[i]
	var zero T
	s.value = zero
	s.generation++
	p.free = append(p.free, i)
}
