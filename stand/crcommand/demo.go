package crcommand

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"time"

	"crocusrack/core/crfile"
	pb "crocusrack/schema/crcatalogue"
	"crocusrack/stand/crmeasure"
)

const (
	demoSummary  = "run a whole deployment in this process and show that the promises hold"
	demoExample  = "crocusstand demo -deployment examples/cedar"
	demoDuration = 20 * time.Second
	demoSeed     = 1
	// daemonsToday is the count of instances that each user runs.
	daemonsToday  = 8
	sharded       = "sharded"
	catalogueFile = "catalogue.toml"
)

var errPromise = errors.New("a promise was broken")

func setupDemo(flags *flag.FlagSet) Run {
	deployment := flags.String("deployment", "examples/kiemblad", "folder with the catalogue of the deployment")
	duration := flags.Duration("duration", demoDuration, "time during which requests are sent")
	daemons := flags.Int("daemons", daemonsToday, "number of daemons")
	return func(ctx context.Context, out io.Writer) error {
		catalogue, err := readCatalogue(*deployment)
		if err != nil {
			return err
		}
		scenario, _ := findScenario("departure")
		name := filepath.Base(*deployment)
		fmt.Fprintf(out, "%s: %d daemons, %d endpoints; failure domain %s goes out and comes back\n",
			name, *daemons, len(catalogue.Endpoints), catalogue.FailureDomains[0].Name)
		c, err := crmeasure.Run(ctx, crmeasure.Options{
			Name:      name,
			Catalogue: catalogue,
			Scenario:  scenario,
			Policy:    sharded,
			Daemons:   *daemons,
			Duration:  *duration,
			Seed:      demoSeed,
			Progress: func(at time.Duration, answered, other int) {
				fmt.Fprintf(out, "%3.0f s: %d answered, %d not answered\n", at.Seconds(), answered, other)
			},
		})
		if err != nil {
			return err
		}
		printTable(out, c)
		for _, m := range c.Missed() {
			fmt.Fprintln(out, "target missed:", m)
		}
		if broken := c.Broken(); len(broken) > 0 {
			for _, b := range broken {
				fmt.Fprintln(out, "broken:", b)
			}
			return errPromise
		}
		return nil
	}
}

func readCatalogue(folder string) (*pb.Catalogue, error) {
	data, err := os.ReadFile(filepath.Join(folder, catalogueFile))
	if err != nil {
		return nil, err
	}
	c, err := crfile.Parse(data)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", folder, err)
	}
	return c, nil
}

func findScenario(name string) (crmeasure.Scenario, bool) {
	all := crmeasure.Scenarios()
	i := slices.IndexFunc(all, func(s crmeasure.Scenario) bool { return s.Name == name })
	if i < 0 {
		return crmeasure.Scenario{}, false
	}
	return all[i], true
}

func printTable(out io.Writer, c crmeasure.Case) {
	fmt.Fprintf(out, "\n%s, %s, %s\n", c.Deployment, c.Scenario, c.Policy)
	for _, row := range []struct {
		name  string
		value any
	}{
		{"answered", c.Answered},
		{"not run", c.NotRun},
		{"unknown", c.Unknown},
		{"cut", c.Cut},
		{"wrong", c.Wrong},
		{"repeated", c.Repeated},
		{"false not run", c.FalseNotRun},
		{"over bound", c.OverBound},
		{"overloaded cold", c.Overloaded},
		{"cache reuse", fmt.Sprintf("%.3f", c.CacheReuse)},
		{"load skew", fmt.Sprintf("%.3f in the worst second, %.3f by starts", c.LoadSkew, c.LoadSkewStarted)},
		{"first token p95", fmt.Sprintf("%.3f s", c.FirstToken)},
		{"late work", fmt.Sprintf("%.3f s", c.LateWork)},
		{"in force", fmt.Sprintf("%.3f s", c.InForce)},
		{"control bytes", fmt.Sprintf("%.0f per daemon per second", c.Control)},
	} {
		fmt.Fprintf(out, "  %-16s %v\n", row.name, row.value)
	}
}
