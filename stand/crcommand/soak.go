package crcommand

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"crocusrack/stand/crsoak"
)

const (
	soakSummary = "run real daemons as processes under faults and check the promises"
	soakExample = "crocusstand soak -program ./crocusrackd -seed 1 -seeds 5"
	soakLength  = 25 * time.Second
)

var errSoak = errors.New("a promise was broken; the logs are kept")

func setupSoak(flags *flag.FlagSet) Run {
	o := crsoak.Options{Recovery: true}
	flags.Uint64Var(&o.Seed, "seed", 1, "first seed")
	seeds := flags.Int("seeds", 1, "how many seeds to run, one after the other")
	flags.DurationVar(&o.Length, "length", soakLength, "length of the load of each seed")
	flags.IntVar(&o.Daemons, "daemons", 5, "daemons, each a process")
	flags.IntVar(&o.Servers, "servers", 6, "servers")
	flags.IntVar(&o.Callers, "callers", 24, "callers")
	flags.StringVar(&o.Program, "program", "./crocusrackd", "the daemon's program")
	flags.StringVar(&o.Previous, "previous", "", "the daemon's program in an earlier release, of which each start draws one of both")
	rollouts := flags.Bool("rollouts", false, "play a roll-out with each seed, half of them of bad versions")
	flags.BoolVar(&o.Calm, "calm", false, "leave the faults out")
	logs := flags.String("logs", filepath.Join(os.TempDir(), "crocusrack-soak"), "folder for settings and logs; those of seeds that pass are removed")
	return func(ctx context.Context, out io.Writer) error {
		failed := 0
		for range *seeds {
			o.Folder = filepath.Join(*logs, fmt.Sprint("seed-", o.Seed))
			if *rollouts {
				r := crsoak.DrawRollout(o.Seed, o.Length, o.Servers)
				o.Rollout = &r
			}
			broken, err := soakSeed(ctx, o, out)
			if err != nil {
				return err
			}
			if broken {
				failed++
			}
			o.Seed++
		}
		fmt.Fprintf(out, "%d of %d seeds broke a promise\n", failed, *seeds)
		if failed > 0 {
			return errSoak
		}
		return nil
	}
}

// soakSeed runs one seed, and removes its logs unless a promise was broken.
func soakSeed(ctx context.Context, o crsoak.Options, out io.Writer) (bool, error) {
	if err := os.MkdirAll(o.Folder, 0o700); err != nil {
		return false, err
	}
	plan, err := os.Create(filepath.Join(o.Folder, "plan.txt"))
	if err != nil {
		return false, err
	}
	defer plan.Close()
	o.Out = plan
	report, err := crsoak.Run(ctx, o)
	if err != nil {
		return false, fmt.Errorf("seed %d: %w", o.Seed, err)
	}
	fmt.Fprintln(out, report)
	if len(report.Broken) > 0 {
		fmt.Fprintf(out, "  logs in %s\n", o.Folder)
		return true, nil
	}
	return false, os.RemoveAll(o.Folder)
}
