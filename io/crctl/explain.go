package crctl

import (
	"bufio"
	"context"
	"flag"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"text/tabwriter"

	"crocusrack/core/crexplain"
)

// maxLogLine bounds one line of a log, in bytes.
const maxLogLine = 1 << 20

// setupExplain reads a log without asking an instance.
func setupExplain(p *Program, _ *flag.FlagSet) action {
	return func(_ context.Context, args []string) error {
		if args[0] == "-" {
			return p.explain(os.Stdin)
		}
		file, err := os.Open(args[0])
		if err != nil {
			return failure{status: Usage, err: err}
		}
		defer file.Close()
		return p.explain(file)
	}
}

// explain writes why callers were served late or not at all. Lines that are none of
// a daemon's are counted and named once.
func (p *Program) explain(log io.Reader) error {
	var r crexplain.Report
	lines := bufio.NewScanner(log)
	lines.Buffer(nil, maxLogLine)
	skipped, first := 0, error(nil)
	for lines.Scan() {
		if err := r.Add(lines.Bytes()); err != nil {
			if skipped++; first == nil {
				first = err
			}
		}
	}
	if err := lines.Err(); err != nil {
		return failf(Usage, "the log can't be read: %w", err)
	}
	if skipped > 0 {
		fmt.Fprintf(p.Stderr, "%d lines passed over, the first: %v\n", skipped, first)
	}
	w := tabwriter.NewWriter(p.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "ROUTE\tLATE OR UNANSWERED FOR\tREQUESTS\tOF ALL")
	for _, row := range r.Rows() {
		fmt.Fprintf(w, "%s\t%s\t%d\t%.1f %%\n", row.Route, row.Cause, row.Requests, 100*row.Share)
	}
	fmt.Fprintln(w, "\nROUTE\tREQUESTS")
	requests := r.Requests()
	for _, route := range slices.Sorted(maps.Keys(requests)) {
		fmt.Fprintf(w, "%s\t%d\n", route, requests[route])
	}
	return w.Flush()
}
