package crslope

import (
	"context"
	"fmt"
	"slices"
	"strings"
)

// fleetSizes are the counts of real daemons in one process.
var (
	fleetSizes      = []int{8, 16, 32, 64, 128}
	shortFleetSizes = []int{4, 8, 12}
	// perDaemonSizes are the counts of endpoints per daemon while the daemons
	// stay as many.
	perDaemonSizes = []int{1, 4, 16}
)

const (
	// reportDaemons is the count of daemons while their endpoints grow.
	reportDaemons  = 4
	fleetPerDaemon = 4
	// leastSizes is the count of sizes without which there is no slope.
	leastSizes = 3
	// loadedDaemons bounds the fleets that get load: with more, the process
	// would run out of its 20,000 open files.
	loadedDaemons = 32
)

// quantity is one that a fleet of real daemons shows.
type quantity struct {
	name, doc string
	unit      Unit
	budget    float64
}

// quantities returns those of one fleet, sorted by name. Control bytes are
// joined by their kinds.
func quantities() []quantity {
	return []quantity{
		{"address-answer-time", "Address answer over loopback, one caller, one call at a time.", Nanoseconds, 0},
		{"catalogue-in-force-time", "Longest of four: a failure domain out or back, from the operator's call until all daemons have it.", Seconds, inForceBudget},
		{"connections", "Open connections, each counted at its dialling end, divided by the daemons.", Count, 0},
		{"connections-loaded", "As connections, at two chats a second and daemon.", Count, 0},
		{"control-idle", "Control bytes sent and received by a daemon without load, all kinds.", BytesPerSecond, controlBudget},
		{"control-loaded", "Control bytes sent and received by a daemon at two chats a second, all kinds.", BytesPerSecond, controlBudget},
		{"goroutines", "Goroutines of a daemon.", Count, 0},
		{"heap", "Live bytes of a daemon with a catalogue of four endpoints a daemon, without load.", Bytes, 0},
		{"join-time", "From the start of all daemons until each knows all and has the first catalogue.", Seconds, 0},
		{"process-time-idle", "Processor time of a daemon without load, its endpoints' stand-ins' answers counted in.", CorePercent, coreBudget},
		{"request-process-time", "Processor time of one chat at two a second and daemon, in the caller, the daemons and the stand-in.", Nanoseconds, 0},
		{"restart-join-time", "From the start of four daemons anew until each knows all.", Seconds, 0},
		{"store-calls-outage", "Calls that the whole fleet makes to a store in outage, retries counted.", CallsPerSecond, readsPerSecond},
		{"store-reads-idle", "Reads of the store by the whole fleet without load.", CallsPerSecond, readsPerSecond},
		{"store-reads-restart", "Reads of the store by one daemon that starts.", Calls, 0},
		{"store-watches", "Watches waiting at the store.", Count, 0},
		{"store-writes-idle", "Writes to the store by the whole fleet without load.", CallsPerSecond, writesPerSecond},
	}
}

// controlPrefixes begin the names of control bytes by kind.
var controlPrefixes = []string{"control-idle-", "control-loaded-"}

func (r *Report) measureFleets(ctx context.Context, o Options) error {
	if err := r.measureDaemons(ctx, o); err != nil {
		return err
	}
	return r.measurePerDaemon(ctx, o)
}

// measureDaemons runs fleets with more and more daemons.
func (r *Report) measureDaemons(ctx context.Context, o Options) error {
	if o.Only != "" && !strings.HasPrefix("fleet", o.Only) {
		return nil
	}
	sizes := fleetSizes
	if o.Short {
		sizes = shortFleetSizes
	}
	values := make(map[string][]Point)
	for i, size := range sizes {
		f := &fleet{daemons: size, perDaemon: fleetPerDaemon, spans: spansFor(o.Short)}
		results, err := f.run(ctx)
		if err != nil && (ctx.Err() != nil || i < leastSizes) {
			return fmt.Errorf("%d daemons: %w", size, err)
		}
		if err != nil {
			r.NotMeasured = append(r.NotMeasured, fmt.Sprintf("%d daemons: %v", size, err))
			break
		}
		if o.Progress != nil {
			fmt.Fprintf(o.Progress, "%d daemons: %v\n", size, results)
		}
		for name, value := range results {
			values[name] = append(values[name], Point{Size: float64(size), Value: value})
		}
	}
	for _, q := range withKinds(values) {
		s := &Slope{
			Name: q.name, Doc: q.doc, Unit: q.unit, SizeUnit: "daemons", Points: complete(values, q.name),
			Target: targetDaemons, Budget: q.budget,
		}
		s.fit()
		r.add(o, s)
	}
	return nil
}

// complete returns the points of a quantity, with zeros where a kind of control
// traffic has not been seen.
func complete(values map[string][]Point, name string) []Point {
	points := values[name]
	for _, prefix := range controlPrefixes {
		if !strings.HasPrefix(name, prefix) {
			continue
		}
		for _, all := range values[strings.TrimSuffix(prefix, "-")] {
			if !slices.ContainsFunc(points, func(p Point) bool { return p.Size == all.Size }) {
				points = append(points, Point{Size: all.Size})
			}
		}
	}
	return points
}

// withKinds returns the quantities and those of each kind of control traffic.
func withKinds(values map[string][]Point) []quantity {
	list := quantities()
	for name := range values {
		for _, prefix := range controlPrefixes {
			if kind, ok := strings.CutPrefix(name, prefix); ok {
				doc := fmt.Sprintf("The part of %s that is of kind %s.", strings.TrimSuffix(prefix, "-"), kind)
				list = append(list, quantity{name, doc, BytesPerSecond, 0})
			}
		}
	}
	slices.SortFunc(list, func(a, b quantity) int { return strings.Compare(a.name, b.name) })
	return list
}

// measurePerDaemon runs fleets whose daemons own more and more endpoints.
func (r *Report) measurePerDaemon(ctx context.Context, o Options) error {
	const name = "report-control"
	if o.Only != "" && !strings.HasPrefix(name, o.Only) {
		return nil
	}
	s := &Slope{
		Name: name, Doc: "Bytes of the reports that a daemon asks its endpoints for, sent and received.",
		Unit: BytesPerSecond, SizeUnit: "endpoints per daemon", Target: endpointsPerDaemon, Budget: controlBudget,
	}
	for _, size := range perDaemonSizes {
		f := &fleet{daemons: reportDaemons, perDaemon: size, spans: spansFor(o.Short)}
		value, err := f.reports(ctx)
		if err != nil {
			return fmt.Errorf("%d endpoints per daemon: %w", size, err)
		}
		s.Points = append(s.Points, Point{Size: float64(size), Value: value})
	}
	s.fit()
	r.add(o, s)
	return nil
}
