package crmeasure

import (
	"fmt"
	"os"
	"path/filepath"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 8 * vg.Inch
	plotHeight = 4 * vg.Inch
)

// Plot writes a picture of the skew over time for each deployment and
// scenario, with a line for each policy, into a folder.
func Plot(folder string, cases []Case) error {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return err
	}
	groups := make(map[string][]Case)
	for _, c := range cases {
		name := c.Deployment + "-" + c.Scenario
		groups[name] = append(groups[name], c)
	}
	for name, group := range groups {
		if err := plotGroup(filepath.Join(folder, name+".png"), group); err != nil {
			return fmt.Errorf("plot %s: %w", name, err)
		}
	}
	return nil
}

func plotGroup(file string, cases []Case) error {
	p := plot.New()
	p.Title.Text = cases[0].Deployment + ", " + cases[0].Scenario
	p.X.Label.Text = "seconds"
	p.Y.Label.Text = "load skew"
	p.Y.Min = 0
	var lines []any
	for _, c := range cases {
		points := make(plotter.XYs, len(c.Seconds))
		for i, s := range c.Seconds {
			points[i] = plotter.XY{X: float64(i + 1), Y: s.Skew}
		}
		lines = append(lines, c.Policy, points)
	}
	if err := plotutil.AddLines(p, lines...); err != nil {
		return err
	}
	return p.Save(plotWidth, plotHeight, file)
}
