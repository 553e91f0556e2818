package crctl

import (
	"context"
	"flag"
	"fmt"

	"crocusrack/core/crcatalogue"
	pb "crocusrack/schema/crcaller"
)

func setupOutcome(p *Program, f *flag.FlagSet) action {
	asJSON := f.Bool("json", false, "write JSON")
	return func(ctx context.Context, args []string) error {
		client, err := p.connection.client()
		if err != nil {
			return err
		}
		ctx, cancel := context.WithTimeout(ctx, p.timeout)
		defer cancel()
		found, err := client.Lookup(ctx, args[0])
		if err != nil {
			return readError(err)
		}
		if *asJSON {
			m := &pb.OutcomeResponse{Running: found.Running, NotStarted: found.NotStarted, Body: found.Body, BodyNotKept: found.BodyNotKept}
			if !found.Running {
				m.Outcome = outcomeMessage(found.Outcome)
			}
			if err := p.json(m); err != nil {
				return err
			}
		}
		if found.Running {
			return failf(Unknown, "the request still runs")
		}
		if !*asJSON {
			if err := p.body(found.Body, found.BodyNotKept); err != nil {
				return err
			}
		}
		return outcomeError(found.Outcome)
	}
}

func setupCancel(p *Program, f *flag.FlagSet) action {
	r := addRequestFlags(f)
	return func(ctx context.Context, args []string) error {
		client, err := p.client(r)
		if err != nil {
			return err
		}
		ctx, cancel := context.WithTimeout(ctx, p.timeout)
		defer cancel()
		found, err := client.Cancel(ctx, args[0], r.chatKey, args[1])
		if err != nil {
			return readError(err)
		}
		if r.asJSON {
			if err := p.json(&pb.CancelResponse{Found: found}); err != nil {
				return err
			}
		}
		if !found {
			return failf(Refused, "no request with this id runs")
		}
		return nil
	}
}

// setupCheck checks a file without asking an instance.
func setupCheck(p *Program, _ *flag.FlagSet) action {
	return func(_ context.Context, args []string) error {
		catalogue, _, err := readFile(args[0])
		if err != nil {
			return err
		}
		problems := crcatalogue.Validate(catalogue)
		if len(problems) == 0 {
			return nil
		}
		for _, problem := range problems {
			fmt.Fprintln(p.Stderr, problem)
		}
		return failf(Usage, "%s: %d problems", args[0], len(problems))
	}
}
