// Package crslope measures how the daemon's state, messages and processor time
// grow with the size of a deployment, fits a line to each measurement and reads
// off its value at the target size. The capacity page takes its figures from
// the report.
package crslope

import (
	"encoding/json"
	"fmt"
	"slices"
)

// Basis tells where a value at the target size comes from.
type Basis string

const (
	// Measured: the target size is one of those that were run.
	Measured Basis = "measured"
	// Interpolated: the target size lies between two that were run.
	Interpolated Basis = "interpolated"
	// Extrapolated: the target size lies outside the sizes that were run.
	Extrapolated Basis = "extrapolated"
)

// Point is a value at a size. Its JSON form is [size, value].
type Point struct {
	Size, Value float64
}

// MarshalJSON writes the point as [size, value].
func (p Point) MarshalJSON() ([]byte, error) { return json.Marshal([2]float64{p.Size, p.Value}) }

// UnmarshalJSON reads [size, value].
func (p *Point) UnmarshalJSON(data []byte) error {
	var pair [2]float64
	if err := json.Unmarshal(data, &pair); err != nil {
		return fmt.Errorf("point: %w", err)
	}
	*p = Point{Size: pair[0], Value: pair[1]}
	return nil
}

// Slope is a quantity measured at several sizes, and the line through it.
type Slope struct {
	// Name is unique in a report, in kebab case.
	Name string `json:"slope"`
	// Doc says in one sentence what was measured.
	Doc string `json:"doc"`
	// Unit is the values', SizeUnit the sizes'.
	Unit     Unit    `json:"unit"`
	SizeUnit string  `json:"size-unit"`
	Points   []Point `json:"points"`
	Line
	// Range is the least and the greatest size.
	Range [2]float64 `json:"range"`
	// Target is the size at the target.
	Target   float64 `json:"target"`
	AtTarget float64 `json:"at-target"`
	Basis    Basis   `json:"basis"`
	// Budget is the most that AtTarget may be; 0 is none.
	Budget float64 `json:"budget,omitempty"`
}

// Inside tells whether the value at the target is within the budget.
func (s *Slope) Inside() bool { return s.Budget == 0 || s.AtTarget <= s.Budget }

// at returns the value at a size: the measured one, or else the line's. A line
// that falls isn't extended beyond the greatest size, whose value then stands.
func (s *Slope) at(size float64) float64 {
	for _, p := range s.Points {
		if p.Size == size {
			return p.Value
		}
	}
	last := s.Points[len(s.Points)-1]
	if size > last.Size && s.PerUnit < 0 {
		return last.Value
	}
	return max(s.Line.At(size), 0)
}

// fit sorts the points and computes all that follows from them.
func (s *Slope) fit() {
	slices.SortFunc(s.Points, func(a, b Point) int {
		if a.Size < b.Size {
			return -1
		}
		return 1
	})
	s.Line = Fit(s.Points)
	s.Range = [2]float64{s.Points[0].Size, s.Points[len(s.Points)-1].Size}
	s.AtTarget = s.at(s.Target)
	s.Basis = s.basis()
}

func (s *Slope) basis() Basis {
	for _, p := range s.Points {
		if p.Size == s.Target {
			return Measured
		}
	}
	if s.Target > s.Range[0] && s.Target < s.Range[1] {
		return Interpolated
	}
	return Extrapolated
}

// Line is a straight line and how well it fits.
type Line struct {
	Intercept float64 `json:"intercept"`
	PerUnit   float64 `json:"per-unit"`
	// RSquared is the share of the values' variance that the line explains.
	RSquared float64 `json:"r-squared"`
}

// At returns the line's value at a size.
func (l Line) At(size float64) float64 { return l.Intercept + l.PerUnit*size }

// Fit returns the line of least squares. Points of a single size give a level
// line at their mean.
func Fit(points []Point) Line {
	var meanSize, meanValue float64
	n := float64(len(points))
	for _, p := range points {
		meanSize += p.Size / n
		meanValue += p.Value / n
	}
	var sizes, values, both float64
	for _, p := range points {
		sizes += (p.Size - meanSize) * (p.Size - meanSize)
		values += (p.Value - meanValue) * (p.Value - meanValue)
		both += (p.Size - meanSize) * (p.Value - meanValue)
	}
	l := Line{Intercept: meanValue, RSquared: 1}
	if sizes == 0 {
		return l
	}
	l.PerUnit = both / sizes
	l.Intercept = meanValue - l.PerUnit*meanSize
	if values > 0 {
		l.RSquared = both * both / (sizes * values)
	}
	return l
}
