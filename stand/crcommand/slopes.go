package crcommand

import (
	"context"
	"flag"
	"fmt"
	"io"

	"crocusrack/stand/crslope"
)

const (
	slopesSummary = "measure how state, messages and processor time grow with the size of a deployment"
	slopesExample = "crocusstand slopes -json docs/measurements/slopes.json -page docs/CAPACITY.md"
)

// slopesFlags are the choices of one run of slopes.
type slopesFlags struct {
	json, page, only string
	short, fromFile  bool
}

func setupSlopes(flags *flag.FlagSet) Run {
	f := &slopesFlags{}
	flags.StringVar(&f.json, "json", "", "file for the results")
	flags.StringVar(&f.page, "page", "", "page whose marked figures are renewed")
	flags.StringVar(&f.only, "only", "", "measure only the slopes whose names begin so, or fleet for those of real daemons")
	flags.BoolVar(&f.short, "short", false, "small sizes in under a minute; the figures are good for trials only")
	flags.BoolVar(&f.fromFile, "from-file", false, "measure nothing: take the slopes from the file given with -json and calculate the figures anew")
	return f.run
}

func (f *slopesFlags) run(ctx context.Context, out io.Writer) error {
	if f.page != "" && (f.short || f.only != "") {
		return fmt.Errorf("-page needs a whole run: leave -short and -only out")
	}
	report, err := f.report(ctx, out)
	if err != nil {
		return err
	}
	if f.json != "" {
		if err := report.Write(f.json); err != nil {
			return err
		}
	}
	for _, g := range report.Figures {
		fmt.Fprintf(out, "%-32s %14s\n", g.Name, g.Unit.Format(g.Value))
	}
	if f.page == "" {
		return nil
	}
	return report.WritePage(f.page)
}

func (f *slopesFlags) report(ctx context.Context, out io.Writer) (*crslope.Report, error) {
	if f.fromFile {
		report, err := crslope.Read(f.json)
		if err == nil {
			report.Calculate()
		}
		return report, err
	}
	return crslope.Run(ctx, crslope.Options{Short: f.short, Only: f.only, Progress: out})
}
