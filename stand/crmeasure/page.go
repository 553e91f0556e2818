package crmeasure

import (
	"fmt"
	"strings"
)

// The marks between which a page holds the table of cases.
const (
	tableStart = "<!-- cases -->\n"
	tableEnd   = "<!-- end of cases -->"
)

// Page returns a page with its table of cases made anew.
func Page(page string, cases []Case) (string, error) {
	before, rest, found := strings.Cut(page, tableStart)
	_, after, ended := strings.Cut(rest, tableEnd)
	if !found || !ended {
		return "", fmt.Errorf("the page lacks the marks %q and %q", strings.TrimSpace(tableStart), tableEnd)
	}
	return before + tableStart + table(cases) + tableEnd + after, nil
}

func table(cases []Case) string {
	var b strings.Builder
	scenario := ""
	for _, c := range cases {
		if name := c.Deployment + ", " + c.Scenario; name != scenario {
			scenario = name
			fmt.Fprintf(&b, "\n### %s\n\n", name)
			b.WriteString("| policy | cache reuse | load skew | raw | over bound | first token p95 | answered | unknown | cut | overloaded cold | late work | in force | control |\n")
			b.WriteString("|---|---|---|---|---|---|---|---|---|---|---|---|---|\n")
		}
		fmt.Fprintf(&b, "| %s | %.3f | %.2f | %.2f | %d | %.3f s | %d of %d | %d | %d | %d | %.2f s | %.2f s | %.0f B/s |\n",
			c.Policy, c.CacheReuse, c.LoadSkew, c.LoadSkewRaw, c.OverBound, c.FirstToken, c.Answered, c.Requests,
			c.Unknown, c.Cut, c.Overloaded, c.LateWork, c.InForce, c.Control)
	}
	b.WriteString("\n")
	return b.String()
}
