package crcommand

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"crocusrack/core/crpolicy"
	"crocusrack/stand/crmeasure"
)

const (
	measureSummary = "measure the daemon's policy and plain ones under load and faults"
	measureExample = "crocusstand measure -deployment examples/kiemblad -scenario broadcast -json broadcast.json"
	fullDuration   = 20 * time.Second
	shortDuration  = 8 * time.Second
	// parallelCases run side by side; more would disturb each other.
	parallelCases = 5
)

// report is the file that measure writes.
type report struct {
	At    time.Time        `json:"at"`
	Cases []crmeasure.Case `json:"cases"`
}

// measureFlags are the choices of one measurement.
type measureFlags struct {
	deployment, scenario, policy string
	json, plots, page, fromFile  string
	daemons                      int
	seed                         uint64
	duration                     time.Duration
	short                        bool
}

func setupMeasure(flags *flag.FlagSet) Run {
	f := &measureFlags{}
	flags.StringVar(&f.deployment, "deployment", "", "folder of one deployment; both examples when empty")
	flags.StringVar(&f.scenario, "scenario", "", "one of "+strings.Join(scenarioNames(), ", ")+"; all when empty")
	flags.StringVar(&f.policy, "policy", "", "one of "+strings.Join(policyNames(), ", ")+"; all when empty")
	flags.StringVar(&f.json, "json", "", "file for the results")
	flags.StringVar(&f.plots, "plots", "", "folder for a picture of each scenario")
	flags.StringVar(&f.page, "page", "", "page whose table of cases is made anew")
	flags.StringVar(&f.fromFile, "from-file", "", "take the results from this file instead of measuring")
	flags.IntVar(&f.daemons, "daemons", daemonsToday, "number of daemons")
	flags.Uint64Var(&f.seed, "seed", demoSeed, "seed of the trace")
	flags.DurationVar(&f.duration, "duration", fullDuration, "time during which requests are sent in each case")
	flags.BoolVar(&f.short, "short", false, "only the daemon's policy and rendezvous, and less time")
	return f.run
}

func scenarioNames() []string {
	var names []string
	for _, s := range crmeasure.Scenarios() {
		names = append(names, s.Name)
	}
	return names
}

func policyNames() []string {
	names := []string{sharded}
	for _, p := range crpolicy.Policies() {
		names = append(names, p.Name)
	}
	return names
}

func (f *measureFlags) run(ctx context.Context, out io.Writer) error {
	if f.fromFile != "" {
		results, err := readReport(f.fromFile)
		if err != nil {
			return err
		}
		return f.write(results)
	}
	cases, err := f.cases()
	if err != nil {
		return err
	}
	results := make([]crmeasure.Case, len(cases))
	errs := make([]error, len(cases))
	slots := make(chan struct{}, parallelCases)
	var all sync.WaitGroup
	var printing sync.Mutex
	for i, o := range cases {
		slots <- struct{}{}
		all.Go(func() {
			defer func() { <-slots }()
			results[i], errs[i] = crmeasure.Run(ctx, o)
			printing.Lock()
			defer printing.Unlock()
			printLine(out, results[i], errs[i])
		})
	}
	all.Wait()
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	slices.SortStableFunc(results, crmeasure.Compare)
	return f.write(results)
}

func (f *measureFlags) cases() ([]crmeasure.Options, error) {
	deployments := []string{"examples/kiemblad", "examples/cedar"}
	if f.deployment != "" {
		deployments = []string{f.deployment}
	}
	policies, scenarios := policyNames(), scenarioNames()
	duration := f.duration
	if f.short {
		policies = []string{sharded, "rendezvous"}
		deployments = deployments[:1]
		duration = min(duration, shortDuration)
	}
	if f.policy != "" {
		policies = []string{f.policy}
	}
	if f.scenario != "" {
		scenarios = []string{f.scenario}
	}
	var list []crmeasure.Options
	for _, folder := range deployments {
		catalogue, err := readCatalogue(folder)
		if err != nil {
			return nil, err
		}
		for _, name := range scenarios {
			scenario, ok := findScenario(name)
			if !ok {
				return nil, fmt.Errorf("no scenario %q; there are %s", name, strings.Join(scenarioNames(), ", "))
			}
			for _, policy := range policies {
				if !slices.Contains(policyNames(), policy) {
					return nil, fmt.Errorf("no policy %q; there are %s", policy, strings.Join(policyNames(), ", "))
				}
				list = append(list, crmeasure.Options{
					Name:      filepath.Base(folder),
					Catalogue: catalogue,
					Scenario:  scenario,
					Policy:    policy,
					Daemons:   f.daemons,
					Duration:  duration,
					Seed:      f.seed,
				})
			}
		}
	}
	return list, nil
}

func printLine(out io.Writer, c crmeasure.Case, err error) {
	if err != nil {
		fmt.Fprintln(out, "failed:", err)
		return
	}
	fmt.Fprintf(out, "%-9s %-12s %-15s reuse %.3f skew %.2f raw %.2f ttft %.3f answered %d/%d unknown %d cut %d wrong %d repeated %d false %d cold %d over %d late %.2f force %.2f control %.0f mean %.1f\n",
		c.Deployment, c.Scenario, c.Policy, c.CacheReuse, c.LoadSkew, c.LoadSkewRaw, c.FirstToken, c.Answered, c.Requests,
		c.Unknown, c.Cut, c.Wrong, c.Repeated, c.FalseNotRun, c.Overloaded, c.OverBound, c.LateWork, c.InForce, c.Control, c.MeanInFlight)
}

func (f *measureFlags) write(results []crmeasure.Case) error {
	if f.json != "" {
		data, err := json.MarshalIndent(report{At: time.Now(), Cases: results}, "", "  ")
		if err != nil {
			return err
		}
		if err := os.WriteFile(f.json, append(data, '\n'), 0o644); err != nil {
			return err
		}
	}
	if f.page != "" {
		if err := writePage(f.page, results); err != nil {
			return err
		}
	}
	if f.plots == "" {
		return nil
	}
	return crmeasure.Plot(f.plots, results)
}

func readReport(file string) ([]crmeasure.Case, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	var r report
	if err := json.Unmarshal(data, &r); err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	return r.Cases, nil
}

func writePage(file string, results []crmeasure.Case) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	page, err := crmeasure.Page(string(data), results)
	if err != nil {
		return fmt.Errorf("%s: %w", file, err)
	}
	return os.WriteFile(file, []byte(page), 0o644)
}
