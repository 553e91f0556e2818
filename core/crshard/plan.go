package crshard

// Step is one attempt of a request at a shard.
type Step struct {
	*Shard
	// RefusedElsewhere means that another shard has been tried before.
	RefusedElsewhere bool
	// MayQueue means that the request may wait in the shard's queue.
	MayQueue bool
}

// Plan returns the steps of a request. Only the first limit shards are used. The request
// tries each of them once without queueing, so that it uses free capacity elsewhere before
// it waits, and then queues at the one that it tried first. With a single shard it queues
// there at once. The preferred shard, where the chat's context is known to be, comes first
// if it is among the first limit shards; the zero Key means no preference.
func Plan(shards []*Shard, preferred Key, limit int) []Step {
	shards = shards[:min(len(shards), limit)]
	if len(shards) == 0 {
		return nil
	}
	first := 0
	for i, s := range shards {
		if s.Key == preferred {
			first = i
		}
	}
	steps := make([]Step, 0, len(shards)+1)
	if len(shards) > 1 {
		steps = append(steps, Step{Shard: shards[first]})
		for i, s := range shards {
			if i != first {
				steps = append(steps, Step{Shard: s, RefusedElsewhere: true})
			}
		}
	}
	return append(steps, Step{Shard: shards[first], RefusedElsewhere: len(shards) > 1, MayQueue: true})
}
