package crslope

import (
	"bytes"
	"fmt"
	"os"
	"regexp"
	"strings"
)

// A page marks the places that are generated:
//
//	<!-- slopes -->…<!-- end -->     the table of all slopes
//	<!-- figures -->…<!-- end -->    the table of all figures
//	<!-- run -->…<!-- end -->        when and where the run was
//	<!-- =NAME -->…<!-- end -->      the value of one slope or figure
var mark = regexp.MustCompile(`(?s)<!-- (=?[a-z0-9-]+) -->.*?<!-- end -->`)

// Page returns the page with the report's values in its marked places. It
// returns an error when a mark names nothing in the report.
func (r *Report) Page(page []byte) ([]byte, error) {
	var failed error
	next := mark.ReplaceAllFunc(page, func(place []byte) []byte {
		name := string(mark.FindSubmatch(place)[1])
		text, err := r.text(name)
		if err != nil {
			failed = err
			return place
		}
		return fmt.Appendf(nil, "<!-- %s -->%s<!-- end -->", name, text)
	})
	return next, failed
}

// WritePage renews a page in its file.
func (r *Report) WritePage(file string) error {
	before, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	after, err := r.Page(before)
	if err != nil {
		return fmt.Errorf("%s: %w", file, err)
	}
	if bytes.Equal(before, after) {
		return nil
	}
	return os.WriteFile(file, after, 0o644)
}

func (r *Report) text(name string) (string, error) {
	switch name {
	case "slopes":
		return r.slopeTable(), nil
	case "figures":
		return r.figureTable(), nil
	case "run":
		return r.circumstances(), nil
	}
	wanted, ok := strings.CutPrefix(name, "=")
	if !ok {
		return "", fmt.Errorf("there is no mark %q", name)
	}
	if s := r.Slope(wanted); s != nil {
		return s.Unit.Format(s.AtTarget), nil
	}
	for _, f := range r.Figures {
		if f.Name == wanted {
			return f.Unit.Format(f.Value), nil
		}
	}
	return "", fmt.Errorf("there is no slope or figure %q", wanted)
}

func (r *Report) circumstances() string {
	text := fmt.Sprintf("%s, %d cores, load average %.1f before and %.1f after the run",
		r.At.Format("2006-01-02 15:04 MST"), r.Cores, r.LoadBefore, r.LoadAfter)
	for _, n := range r.NotMeasured {
		text += "; not measured: " + n
	}
	return text
}

func (r *Report) slopeTable() string {
	var b strings.Builder
	b.WriteString("\n| slope | what | measured at | slope per unit | r² | at the target | basis | budget |\n|---|---|---|---|---|---|---|---|\n")
	for _, s := range r.Slopes {
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s | %.2f | %s | %s | %s |\n", s.Name, s.Doc, s.points(), s.perUnit(), s.RSquared,
			s.Unit.Format(s.AtTarget), s.basisText(), verdict(s.Unit, s.Budget, s.Inside()))
	}
	return b.String()
}

func (s *Slope) points() string {
	var list []string
	for _, p := range s.Points {
		list = append(list, fmt.Sprintf("%g: %s", p.Size, s.Unit.Format(p.Value)))
	}
	return strings.Join(list, "; ") + " (" + s.SizeUnit + ")"
}

func (s *Slope) perUnit() string { return fmt.Sprintf("%.3g %s", s.PerUnit, s.Unit) }

func (s *Slope) basisText() string {
	if s.Basis == Measured {
		return string(s.Basis)
	}
	return fmt.Sprintf("%s from %g to %g", s.Basis, s.Range[0], s.Range[1])
}

func (r *Report) figureTable() string {
	var b strings.Builder
	b.WriteString("\n| figure | how | value | budget |\n|---|---|---|---|\n")
	for _, f := range r.Figures {
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s |\n", f.Name, f.Doc, f.Unit.Format(f.Value), verdict(f.Unit, f.Budget, f.Inside()))
	}
	return b.String()
}

// verdict tells whether a value is inside its budget.
func verdict(u Unit, budget float64, inside bool) string {
	switch {
	case budget == 0:
		return ""
	case inside:
		return "inside " + u.Format(budget)
	}
	return "**outside** " + u.Format(budget)
}
