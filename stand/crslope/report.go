package crslope

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"runtime"
	"slices"
	"strings"
	"time"
)

// Report is the result of a run.
type Report struct {
	At time.Time `json:"at"`
	// Cores is the count of the machine's, and LoadBefore and LoadAfter its
	// load averages over a minute, 0 when unknown. The machine was shared when
	// they are above what the run itself takes.
	Cores      int      `json:"cores"`
	LoadBefore float64  `json:"load-average-before"`
	LoadAfter  float64  `json:"load-average-after"`
	Slopes     []*Slope `json:"slopes"`
	// NotMeasured tells which sizes failed, and why.
	NotMeasured []string `json:"not-measured,omitempty"`
	// Figures are calculated from the slopes.
	Figures []Figure `json:"figures"`
}

// Options tell what to measure.
type Options struct {
	// Short measures small sizes in under a minute.
	Short bool
	// Only names the slopes to measure by a prefix; all when empty. Figures
	// need all.
	Only string
	// Progress gets a line for each slope.
	Progress io.Writer
}

// shortSizes is the count of sizes of a short run.
const shortSizes = 3

// Run measures.
func Run(ctx context.Context, o Options) (*Report, error) {
	r := &Report{At: time.Now().UTC().Truncate(time.Second), Cores: runtime.NumCPU(), LoadBefore: loadAverage()}
	if err := r.measureSeries(ctx, o); err != nil {
		return nil, err
	}
	if err := r.measureFleets(ctx, o); err != nil {
		return nil, err
	}
	slices.SortFunc(r.Slopes, func(a, b *Slope) int { return strings.Compare(a.Name, b.Name) })
	if o.Only == "" {
		r.Calculate()
	}
	r.LoadAfter = loadAverage()
	return r, nil
}

// Calculate renews the figures from the slopes, all of which it needs.
func (r *Report) Calculate() { r.Figures = r.figures() }

func (r *Report) measureSeries(ctx context.Context, o Options) error {
	m := &runner{span: timingSpan}
	for _, s := range allSeries() {
		if !strings.HasPrefix(s.name, o.Only) {
			continue
		}
		count := len(s.sizes)
		if o.Short {
			m.span = shortTimingSpan
			count = min(shortSizes, count-1)
		}
		slope, err := s.run(ctx, m, count)
		if err != nil {
			return err
		}
		r.add(o, slope)
	}
	return nil
}

func (r *Report) add(o Options, s *Slope) {
	r.Slopes = append(r.Slopes, s)
	if o.Progress == nil {
		return
	}
	fmt.Fprintf(o.Progress, "%-32s at %8g %-10s %14s  %s, r² %.3f\n",
		s.Name, s.Target, s.SizeUnit, s.Unit.Format(s.AtTarget), s.Basis, s.RSquared)
}

// Slope returns the slope of that name, or nil.
func (r *Report) Slope(name string) *Slope {
	for _, s := range r.Slopes {
		if s.Name == name {
			return s
		}
	}
	return nil
}

// Write writes the report to a file.
func (r *Report) Write(file string) error {
	data, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(file, append(data, '\n'), 0o644)
}

// Read reads a report from a file.
func Read(file string) (*Report, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	r := &Report{}
	if err := json.Unmarshal(data, r); err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	return r, nil
}

// loadAverage returns the machine's load average over a minute.
func loadAverage() float64 {
	data, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return 0
	}
	var minute float64
	if _, err := fmt.Sscan(string(data), &minute); err != nil {
		return 0
	}
	return minute
}
