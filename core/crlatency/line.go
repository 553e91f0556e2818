package crlatency

import (
	"math"
	"time"
)

const (
	// sampleWindow is the number of most recent samples that a line is fitted to.
	sampleWindow = 48
	// priorWeight is the weight, in samples, of each of the two points that stand
	// for the prior line in a fit: at zero tokens and at priorTokens.
	priorWeight = 1.0
	priorTokens = 4000
	// fitIterations is the number of iterations of reweighted least squares in a fit.
	// Each iteration reduces the weight of outliers, such as a time with a lost
	// packet.
	fitIterations = 6
	// minRelativeError is the relative error below which all samples have the same
	// weight.
	minRelativeError = 0.02
	// minPriorFactor bounds the base and the slope of a fitted line from below, and
	// maxPriorFactor bounds the base from above, as multiples of the prior. A base above
	// its bound would be caused by a queue that isn't in the known backlog.
	minPriorFactor = 0.001
	maxPriorFactor = 12
	// fullWeightAge is the age up to which a sample has its full weight. After that
	// its weight halves every weightHalfLife. Endpoints and transfers that are avoided
	// as slow aren't measured, so only a return to the prior lets a recovery be noticed.
	fullWeightAge  = time.Minute
	weightHalfLife = time.Minute
	// refitInterval is the age after which a fit is repeated even without new samples.
	refitInterval = 10 * time.Second
)

// ageWeight returns the weight of a sample of some age, from 0 to 1.
func ageWeight(age time.Duration) float64 {
	return math.Exp2(-float64(max(0, age-fullWeightAge)) / float64(weightHalfLife))
}

// line estimates a duration as a linear function of a number of tokens. The base is in
// milliseconds, the slope in milliseconds per token.
type line struct {
	base, slope float64
}

// fittedLine is a line that is fitted to the most recent samples.
type fittedLine struct {
	line
	// samples is a ring buffer of samples, and count the number of samples ever added.
	samples [sampleWindow]sample
	count   int
	// fittedAt is the time of the last fit.
	fittedAt time.Time
}

// sample is a measured duration.
type sample struct {
	// took is the duration in milliseconds.
	tokens, took float64
	at           time.Time
}

// estimate returns the estimated duration for some tokens, in milliseconds.
func (l line) estimate(tokens int) float64 { return l.base + l.slope*float64(tokens) }

// observe adds a sample, with took in milliseconds, and repeats the fit. The prior is
// the line before any samples.
func (l *fittedLine) observe(now time.Time, prior line, tokens int, took float64) {
	l.samples[l.count%sampleWindow] = sample{float64(tokens), took, now}
	l.count++
	l.fit(now, prior)
}

// refitIfStale repeats the fit if the last one is older than refitInterval, so that the line
// returns to the prior when there are no new samples.
func (l *fittedLine) refitIfStale(now time.Time, prior line) {
	if l.count > 0 && now.Sub(l.fittedAt) >= refitInterval {
		l.fit(now, prior)
	}
}

// fit fits the line by iteratively reweighted least squares.
func (l *fittedLine) fit(now time.Time, prior line) {
	for range fitIterations {
		l.fitOnce(now, prior)
	}
	l.fittedAt = now
}

// fitOnce does one iteration of the fit. It minimizes the sum of squared errors, each
// divided by the estimate and by the absolute error of the previous iteration. The
// iterations approach the least sum of absolute relative errors, on which outliers have
// little influence.
func (l *fittedLine) fitOnce(now time.Time, prior line) {
	var s regression
	for i := range min(l.count, sampleWindow) {
		x := &l.samples[i]
		s.add(l.line, x.tokens, x.took, ageWeight(now.Sub(x.at)))
	}
	s.add(l.line, 0, prior.base, priorWeight)
	s.add(l.line, priorTokens, prior.estimate(priorTokens), priorWeight)
	l.line = s.solve()
	l.base = min(max(l.base, prior.base*minPriorFactor), prior.base*maxPriorFactor)
	l.slope = max(l.slope, prior.slope*minPriorFactor)
}

// regression accumulates the sums of a weighted linear regression.
type regression struct {
	w, x, y, xx, xy float64
}

// add adds a point. Its weight is divided by the estimate of the line l and by the absolute
// error of that estimate, which counts as at least minRelativeError of the estimate.
func (s *regression) add(l line, x, y, weight float64) {
	estimate := l.base + l.slope*x
	w := weight / (estimate * max(math.Abs(y-estimate), minRelativeError*estimate))
	s.w += w
	s.x += w * x
	s.y += w * y
	s.xx += w * x * x
	s.xy += w * x * y
}

// solve returns the line of least squares. The determinant isn't zero, because the two
// points of the prior have different token counts.
func (s *regression) solve() line {
	slope := (s.w*s.xy - s.x*s.y) / (s.w*s.xx - s.x*s.x)
	return line{(s.y - slope*s.x) / s.w, slope}
}
