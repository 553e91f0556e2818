package crpace

import (
	"math"
	"time"
)

const (
	// window is how many of the last times a line is drawn through.
	window = 48
	// priorWeight is for how many times the assumption counts that is made before any
	// was seen, at no tokens and at priorTokens.
	priorWeight = 1.0
	priorTokens = 4000
	// rounds is how often the line is drawn anew with other weights: times far from
	// it, such as that of a lost packet, count less each time.
	rounds = 6
	// leastError is the relative error below which all times count the same.
	leastError = 0.02
	// leastPart and mostPart bound the parts of a line, as parts of the assumption. A
	// base beyond that would be a queue that nobody knew of.
	leastPart = 0.001
	mostPart  = 12
	// trustedFor is how long a time counts in full. From then on it counts half after
	// each further forgotten: what it says may be over, and is only found out by
	// trying.
	trustedFor = time.Minute
	forgotten  = time.Minute
	// redrawn is after what time the line is drawn anew though no time was seen.
	redrawn = 10 * time.Second
)

// kept returns how much of a time still counts, from 0 to 1.
func kept(age time.Duration) float64 {
	return math.Exp2(-float64(max(0, age-trustedFor)) / float64(forgotten))
}

// line gives times that grow with a count of tokens, in milliseconds: a time that is
// the same for all, and one for each token.
type line struct {
	base, slope float64
}

// learned is a line that follows the last times that were seen.
type learned struct {
	line
	seen  [window]sample
	count int
	drawn time.Time
}

type sample struct {
	tokens, took float64
	at           time.Time
}

// at returns the estimated time for some tokens, in milliseconds.
func (l line) at(tokens int) float64 { return l.base + l.slope*float64(tokens) }

// observe notes that so many tokens took so many milliseconds. The assumption is
// what holds before the first time.
func (l *learned) observe(now time.Time, assumed line, tokens int, took float64) {
	l.seen[l.count%window] = sample{float64(tokens), took, now}
	l.count++
	l.redraw(now, assumed)
}

// age lets a line that was learned go back to what is assumed when nothing new is
// seen.
func (l *learned) age(now time.Time, assumed line) {
	if l.count > 0 && now.Sub(l.drawn) >= redrawn {
		l.redraw(now, assumed)
	}
}

func (l *learned) redraw(now time.Time, assumed line) {
	for range rounds {
		l.draw(now, assumed)
	}
	l.drawn = now
}

// draw moves the line to where the sum of squared errors is least, each divided by
// the present error. After some rounds the sum of relative errors is least, on which
// single times have little influence.
func (l *learned) draw(now time.Time, assumed line) {
	var s sums
	for i := range min(l.count, window) {
		x := &l.seen[i]
		s.add(l.line, x.tokens, x.took, kept(now.Sub(x.at)))
	}
	s.add(l.line, 0, assumed.base, priorWeight)
	s.add(l.line, priorTokens, assumed.at(priorTokens), priorWeight)
	l.line = s.line()
	l.base = min(max(l.base, assumed.base*leastPart), assumed.base*mostPart)
	l.slope = max(l.slope, assumed.slope*leastPart)
}

// sums are those of weighted least squares.
type sums struct {
	w, x, y, xx, xy float64
}

func (s *sums) add(l line, x, y, weight float64) {
	forecast := l.base + l.slope*x
	w := weight / (forecast * max(math.Abs(y-forecast), leastError*forecast))
	s.w += w
	s.x += w * x
	s.y += w * y
	s.xx += w * x * x
	s.xy += w * x * y
}

// line returns the line of least squares. There are two different counts of tokens at
// least, those of the assumption.
func (s *sums) line() line {
	slope := (s.w*s.xy - s.x*s.y) / (s.w*s.xx - s.x*s.x)
	return line{(s.y - slope*s.x) / s.w, slope}
}
