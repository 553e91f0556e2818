package crctl

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"text/tabwriter"

	"crocusrack/io/crmetric"
)

// maxMetricsBytes bounds the metrics of one instance.
const maxMetricsBytes = 16 << 20

func setupMetrics(p *Program, f *flag.FlagSet) action {
	asJSON := f.Bool("json", false, "write JSON")
	return func(ctx context.Context, _ []string) error {
		data, err := p.metrics(ctx)
		if err != nil {
			return err
		}
		if *asJSON {
			return p.jsonValue(json.RawMessage(data))
		}
		return p.metricTable(data)
	}
}

// metrics reads the metrics of the instance at -operator.
func (p *Program) metrics(ctx context.Context) ([]byte, error) {
	t, err := p.connection.to("-operator", p.connection.operator)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, p.timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, t.url()+crmetric.Path, nil)
	if err != nil {
		return nil, err
	}
	response, err := t.http.Do(request)
	if err != nil {
		return nil, failure{status: Unreachable, err: err}
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, failf(Refused, "%s answers %s", request.URL, response.Status)
	}
	data, err := io.ReadAll(io.LimitReader(response.Body, maxMetricsBytes))
	if err != nil {
		return nil, failure{status: Unreachable, err: err}
	}
	return data, nil
}

// metricTable writes a line for each value. Metrics that this program doesn't
// know, since the instance is newer, are written without a unit.
func (p *Program) metricTable(data []byte) error {
	var values map[string]json.RawMessage
	if err := json.Unmarshal(data, &values); err != nil {
		return failf(Refused, "the answer holds no metrics: %w", err)
	}
	units := make(map[string]string)
	for _, m := range crmetric.Table() {
		units[m.Name] = m.Unit
	}
	w := tabwriter.NewWriter(p.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "METRIC\tLABEL\tVALUE\tUNIT")
	for _, name := range slices.Sorted(maps.Keys(values)) {
		var labelled map[string]json.RawMessage
		if json.Unmarshal(values[name], &labelled) != nil || labelled == nil {
			fmt.Fprintf(w, "%s\t\t%s\t%s\n", name, values[name], units[name])
			continue
		}
		for _, label := range slices.Sorted(maps.Keys(labelled)) {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", name, label, labelled[label], units[name])
		}
	}
	return w.Flush()
}
