package crshare

import (
	"maps"
	"slices"
	"time"
)

// minKindPart is the part of the mean fraction of all kinds of requests that each kind gets at
// least.
const minKindPart = 0.25

// maxKinds bounds the kinds of requests that are told apart. Lower ones count as the last.
const maxKinds = 16

// kindOf returns the kind of a request. Lower kinds are served first: by priority, and at the same
// priority first attempts before retries.
func kindOf(a Request) int {
	kind := 2 * max(0, a.Priority)
	if a.Retry {
		kind++
	}
	return min(kind, maxKinds-1)
}

// kindFractions returns the fraction that each kind of request may use of the part of the demand
// that doesn't fit in the shares, for accounts of which the given fraction fits. The demands are
// attempts per second.
func kindFractions(demands map[int]float64, fraction float64) map[int]float64 {
	total := 0.0
	for _, d := range demands {
		total += d
	}
	fractions := make(map[int]float64, len(demands))
	left := (1 - minKindPart) * fraction * total
	for _, k := range slices.Sorted(maps.Keys(demands)) {
		d := demands[k]
		if d <= 0 {
			continue
		}
		extra := min(left/d, 1-minKindPart*fraction)
		fractions[k] = minKindPart*fraction + extra
		left -= extra * d
	}
	return fractions
}

// fraction returns the fraction of an account's requests of a kind that is admitted, if the given
// fraction of all its requests fits in its share.
func (s *service) fraction(now time.Time, kind int, fraction float64) float64 {
	if fraction >= 1 {
		return 1
	}
	if len(s.kinds) < 2 {
		return fraction
	}
	demands := make(map[int]float64, len(s.kinds))
	for k, r := range s.kinds {
		if d := r.get(now); d >= minRate {
			demands[k] = d
		}
	}
	if f, ok := kindFractions(demands, fraction)[kind]; ok {
		return f
	}
	return fraction
}
