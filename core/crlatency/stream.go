package crlatency

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"crocusrack/core/crledger"
	"crocusrack/core/crstream"
)

const (
	// typicalQuantile is the quantile of the intervals between events that is taken for the
	// usual one. It is below one half, so that the usual one stays that of sound engines while
	// half of the engines are slow.
	typicalQuantile = 0.4
	// typicalStep is the change of the logarithm of the usual interval by one event. Samples
	// count by their events, since a slow engine holds more streams but completes no more
	// events. The step of the first samples is larger: firstTypicalStep divided by their
	// number. maxTypicalStep bounds that of one sample.
	typicalStep, firstTypicalStep, maxTypicalStep = 0.01, 0.7, 0.7
	// minTypicalSamples is the number of samples from which on the usual interval is known.
	minTypicalSamples = 8
	// intervalWindow is the time constant of the moving average of an endpoint's intervals.
	intervalWindow = 400 * time.Millisecond
	// slowInterval is the ratio of an endpoint's interval to the usual one from which on it
	// is slow. Load alone makes engines slower by less while slots are free.
	slowInterval = 1.75
	// intervalLifetime is how long an interval is used without a new one. An endpoint that
	// gets no streams for being slow is then tried again.
	intervalLifetime = 4 * time.Second
	// intervalNews is the age up to which an interval is told to other instances.
	intervalNews = 600 * time.Millisecond
	// intervalReorder is the difference of the times of two intervals below which their order
	// is uncertain, because messages take time.
	intervalReorder = 50 * time.Millisecond
	// lengthWindow is the window of the moving averages of a route's stream lengths, in
	// streams, and minLengths the number of streams from which on lengths are known.
	lengthWindow = 50
	minLengths   = 5
	// lengthDeviations is the number of mean deviations above the mean length that a stream
	// is expected to have at most.
	lengthDeviations = 1.0
)

// PauseCounts counts the pauses between events of streams at an endpoint.
type PauseCounts struct {
	Pauses, OverGap int
	// Longest is the longest pause.
	Longest time.Duration
}

// EventInterval is the time between two events of the streams at an endpoint, as of a time.
type EventInterval struct {
	Endpoint crledger.Key
	Service  string
	Interval time.Duration
	At       time.Time
}

// StreamPaces holds the pauses between the events of streams, by endpoint, and the lengths of
// streams, by route. Its zero value is empty. It is not safe for concurrent use.
type StreamPaces struct {
	endpoints map[crledger.Key]*streamPace
	services  map[string]*serviceStreams
	routes    map[string]*streamLength
}

// streamPace holds what is known of the streams at an endpoint.
type streamPace struct {
	counts      PauseCounts
	service     string
	logInterval float64
	at          time.Time
}

// serviceStreams holds what is known of the streams of a service.
type serviceStreams struct {
	logTypical float64
	samples    int
	// slowUntil is when the last interval of a slow endpoint expires.
	slowUntil time.Time
}

// streamLength holds moving averages of the number of events of a route's streams.
type streamLength struct {
	mean, deviation float64
	count           int
}

// Observe adds pauses of a stream at an endpoint.
func (t *StreamPaces) Observe(now time.Time, service string, k crledger.Key, p crstream.Pauses) {
	e := t.endpoint(k)
	e.counts.Pauses += p.Count
	e.counts.OverGap += p.OverGap
	e.counts.Longest = max(e.counts.Longest, p.Longest)
	if p.Events == 0 || p.Total <= 0 {
		return
	}
	interval := p.Total / time.Duration(p.Events)
	t.service(service).addSample(math.Log(float64(max(interval, time.Microsecond))), p.Events)
	t.addInterval(now, EventInterval{k, service, interval, now})
}

// Apply adds an interval that another instance told of at the time now.
func (t *StreamPaces) Apply(now time.Time, i EventInterval) {
	if i.Interval > 0 && !i.At.After(now) && now.Sub(i.At) < intervalLifetime && i.At.Sub(t.endpoint(i.Endpoint).at) > intervalReorder {
		t.addInterval(now, i)
	}
}

// endpoint returns what is known of an endpoint, which is added if necessary.
func (t *StreamPaces) endpoint(k crledger.Key) *streamPace {
	if t.endpoints == nil {
		t.endpoints = make(map[crledger.Key]*streamPace)
	}
	e := t.endpoints[k]
	if e == nil {
		e = &streamPace{}
		t.endpoints[k] = e
	}
	return e
}

// service returns what is known of a service, which is added if necessary.
func (t *StreamPaces) service(name string) *serviceStreams {
	if t.services == nil {
		t.services = make(map[string]*serviceStreams)
	}
	s := t.services[name]
	if s == nil {
		s = &serviceStreams{}
		t.services[name] = s
	}
	return s
}

// addSample moves the usual interval towards its quantile of the samples.
func (s *serviceStreams) addSample(logInterval float64, events int) {
	s.samples++
	if s.samples == 1 {
		s.logTypical = logInterval
		return
	}
	step := min(maxTypicalStep, max(typicalStep*float64(events), firstTypicalStep/float64(s.samples)))
	if logInterval < s.logTypical {
		s.logTypical = max(logInterval, s.logTypical-step*(1-typicalQuantile))
	} else {
		s.logTypical = min(logInterval, s.logTypical+step*typicalQuantile)
	}
}

// addInterval adds an interval to the moving average of its endpoint.
func (t *StreamPaces) addInterval(now time.Time, i EventInterval) {
	e, s := t.endpoint(i.Endpoint), t.service(i.Service)
	weight, log := 1.0, math.Log(float64(max(i.Interval, time.Microsecond)))
	if !e.at.IsZero() {
		// Streams that end at the same time count alike.
		weight = max(0.5, 1-math.Exp(-float64(i.At.Sub(e.at))/float64(intervalWindow)))
	}
	e.logInterval += weight * (log - e.logInterval)
	e.service, e.at = i.Service, i.At
	if s.isSlow(e) {
		s.slowUntil = now.Add(intervalLifetime)
	}
}

// isSlow reports whether an endpoint is slower than usual.
func (s *serviceStreams) isSlow(e *streamPace) bool {
	return s.samples >= minTypicalSamples && e.logInterval > s.logTypical+math.Log(slowInterval)
}

// AnySlow reports whether an endpoint of a service was found to be slow lately.
func (t *StreamPaces) AnySlow(now time.Time, service string) bool {
	s := t.services[service]
	return s != nil && now.Before(s.slowUntil)
}

// Interval returns the time between two events of a stream at an endpoint: the usual time of
// the service if it isn't known of the endpoint, or zero if neither is known.
func (t *StreamPaces) Interval(now time.Time, service string, k crledger.Key) time.Duration {
	typical := t.Typical(service)
	if e := t.endpoints[k]; typical > 0 && e != nil && !e.at.IsZero() && now.Sub(e.at) < intervalLifetime {
		return time.Duration(math.Exp(e.logInterval))
	}
	return typical
}

// Typical returns the usual time between two events of a service's streams, or zero if it
// isn't known.
func (t *StreamPaces) Typical(service string) time.Duration {
	if s := t.services[service]; s != nil && s.samples >= minTypicalSamples {
		return time.Duration(math.Exp(s.logTypical))
	}
	return 0
}

// News returns up to max intervals of slow endpoints for a message to other instances, slowest
// first.
func (t *StreamPaces) News(now time.Time, max int) []EventInterval {
	var list []EventInterval
	for k, e := range t.endpoints {
		if s := t.services[e.service]; s != nil && now.Sub(e.at) <= intervalNews && s.isSlow(e) {
			list = append(list, EventInterval{k, e.service, time.Duration(math.Exp(e.logInterval)), e.at})
		}
	}
	slices.SortFunc(list, func(a, b EventInterval) int {
		return cmp.Or(cmp.Compare(b.Interval, a.Interval), cmp.Compare(a.Endpoint, b.Endpoint))
	})
	return list[:min(len(list), max)]
}

// ObserveLength adds the number of events of a complete stream of a route.
func (t *StreamPaces) ObserveLength(route string, events int) {
	if t.routes == nil {
		t.routes = make(map[string]*streamLength)
	}
	l := t.routes[route]
	if l == nil {
		l = &streamLength{mean: float64(events)}
		t.routes[route] = l
	}
	l.count++
	weight := 1 / float64(min(l.count, lengthWindow))
	l.deviation += weight * (math.Abs(float64(events)-l.mean) - l.deviation)
	l.mean += weight * (float64(events) - l.mean)
}

// Length returns the number of events that a stream of a route is expected to have at most, or
// zero if it isn't known.
func (t *StreamPaces) Length(route string) int {
	l := t.routes[route]
	if l == nil || l.count < minLengths {
		return 0
	}
	return int(math.Ceil(l.mean + lengthDeviations*l.deviation))
}

// Counts returns the pauses at an endpoint that this instance saw.
func (t *StreamPaces) Counts(k crledger.Key) PauseCounts {
	if e := t.endpoints[k]; e != nil {
		return e.counts
	}
	return PauseCounts{}
}

// Forget removes the endpoints for which keep returns false.
func (t *StreamPaces) Forget(keep func(crledger.Key) bool) {
	maps.DeleteFunc(t.endpoints, func(k crledger.Key, _ *streamPace) bool { return !keep(k) })
}
