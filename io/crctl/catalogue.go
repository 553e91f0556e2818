package crctl

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strings"
	"time"

	"connectrpc.com/connect"

	"crocusrack/core/crfile"
	"crocusrack/io/crtransport"
	cat "crocusrack/schema/crcatalogue"
	pb "crocusrack/schema/croperator"
)

// versionLine is the first line of a file that get writes.
const versionLine = "# catalogue version %d\n"

// noBase stands for a base version that no flag gave.
const noBase = -1

func setupGet(p *Program, f *flag.FlagSet) action {
	asJSON := f.Bool("json", false, "write JSON")
	return func(ctx context.Context, _ []string) error {
		current, err := p.current(ctx)
		if err != nil {
			return err
		}
		if *asJSON {
			return p.json(current)
		}
		file, err := crfile.Format(current.GetCatalogue())
		if err != nil {
			return err
		}
		fmt.Fprintf(p.Stdout, versionLine+"\n%s", current.GetVersion(), file)
		return nil
	}
}

// current returns the catalogue in force at the instance.
func (p *Program) current(ctx context.Context) (*pb.GetCatalogueResponse, error) {
	client, err := p.connection.operators()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, p.timeout)
	defer cancel()
	response, err := client.GetCatalogue(ctx, connect.NewRequest(&pb.GetCatalogueRequest{}))
	if err != nil {
		return nil, readError(err)
	}
	return response.Msg, nil
}

// readFile returns the catalogue of a file and the version that its first line
// names, or noBase.
func readFile(name string) (*cat.Catalogue, int64, error) {
	data, err := os.ReadFile(name)
	if err != nil {
		return nil, 0, failure{status: Usage, err: err}
	}
	catalogue, err := crfile.Parse(data)
	if err != nil {
		return nil, 0, failf(Usage, "%s:\n%w", name, err)
	}
	var version int64
	if n, err := fmt.Sscanf(string(data), versionLine, &version); n != 1 || err != nil {
		version = noBase
	}
	return catalogue, version, nil
}

func setupDiff(p *Program, f *flag.FlagSet) action {
	asJSON := f.Bool("json", false, "write JSON")
	return func(ctx context.Context, args []string) error {
		proposed, _, err := readFile(args[0])
		if err != nil {
			return err
		}
		current, err := p.current(ctx)
		if err != nil {
			return err
		}
		differences, err := crfile.Diff(current.GetCatalogue(), proposed)
		if err != nil {
			return err
		}
		if *asJSON {
			err = p.jsonValue(append([]crfile.Difference{}, differences...))
		} else {
			p.differences(differences)
		}
		if err == nil && len(differences) > 0 {
			err = failf(Refused, "%d records differ from version %d", len(differences), current.GetVersion())
		}
		return err
	}
}

func (p *Program) differences(ds []crfile.Difference) {
	for _, d := range ds {
		fmt.Fprint(p.Stdout, d)
	}
}

func setupApply(p *Program, f *flag.FlagSet) action {
	base := f.Int64("base", noBase, "`version` that the file was made from, 0 for the first catalogue; -1 takes the one that the file names")
	note := f.String("note", "", "`text` kept in the history")
	dryRun := f.Bool("dry-run", false, "check only")
	asJSON := f.Bool("json", false, "write JSON")
	waiting := addWait(f)
	return func(ctx context.Context, args []string) error {
		proposed, version, err := readFile(args[0])
		if err != nil {
			return err
		}
		if *base != noBase {
			version = *base
		}
		if version < 0 {
			return failf(Usage, "%s doesn't name the version that it was made from: use -base", args[0])
		}
		request := &pb.ApplyRequest{
			Catalogue: proposed, BaseVersion: uint64(version), Author: p.author, Note: *note, DryRun: *dryRun,
		}
		response, err := p.apply(ctx, request)
		if err != nil {
			return err
		}
		if *asJSON {
			err = p.json(response)
		} else {
			fmt.Fprintf(p.Stdout, "%s %d\n%s", applied(*dryRun), response.GetVersion(), indented(response.GetChanged()))
		}
		if err != nil || *dryRun {
			return err
		}
		return waiting.until(ctx, p, response.GetVersion())
	}
}

func applied(dryRun bool) string {
	if dryRun {
		return "would change version"
	}
	return "version"
}

func (p *Program) apply(ctx context.Context, request *pb.ApplyRequest) (*pb.ApplyResponse, error) {
	client, err := p.connection.operators()
	if err != nil {
		return nil, err
	}
	call, cancel := context.WithTimeout(ctx, p.timeout)
	defer cancel()
	var sent crtransport.Sent
	response, err := client.Apply(sent.Trace(call), connect.NewRequest(request))
	if connect.CodeOf(err) == connect.CodeAborted {
		p.explainConflict(ctx, request)
	}
	if err != nil {
		return nil, writeError(err, &sent)
	}
	return response.Msg, nil
}

// explainConflict shows who changed what since the base version, and how the
// file differs from the current catalogue.
func (p *Program) explainConflict(ctx context.Context, request *pb.ApplyRequest) {
	current, err := p.newerThan(ctx, request.GetBaseVersion())
	if err != nil {
		fmt.Fprintf(p.Stderr, "the current catalogue can't be read: %v\n", err)
		return
	}
	changes, err := p.history(ctx, 0)
	if err != nil {
		fmt.Fprintf(p.Stderr, "the history can't be read: %v\n", err)
	}
	fmt.Fprintf(p.Stdout, "made from version %d, current is version %d\n", request.GetBaseVersion(), current.GetVersion())
	for _, c := range changes {
		if c.GetVersion() > request.GetBaseVersion() {
			p.change(c)
		}
	}
	differences, err := crfile.Diff(current.GetCatalogue(), request.GetCatalogue())
	if err != nil {
		fmt.Fprintf(p.Stderr, "the catalogues can't be compared: %v\n", err)
		return
	}
	fmt.Fprintln(p.Stdout, "the file would change (- current, + file):")
	p.differences(differences)
}

// newerThan returns the catalogue in force at the instance once it is newer
// than the version, or as it is when that takes too long: the instance may not
// yet follow the change that it has found in the store.
func (p *Program) newerThan(ctx context.Context, version uint64) (*pb.GetCatalogueResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, p.timeout)
	defer cancel()
	for {
		current, err := p.current(ctx)
		if err != nil || current.GetVersion() > version {
			return current, err
		}
		select {
		case <-ctx.Done():
			return current, nil
		case <-time.After(pollInterval):
		}
	}
}

func setupHistory(p *Program, f *flag.FlagSet) action {
	limit := f.Uint("limit", 0, "`number` of changes; 20 when it is 0")
	asJSON := f.Bool("json", false, "write JSON")
	return func(ctx context.Context, _ []string) error {
		changes, err := p.history(ctx, uint32(*limit))
		if err != nil {
			return err
		}
		if *asJSON {
			return p.json(&pb.HistoryResponse{Changes: changes})
		}
		for _, c := range changes {
			p.change(c)
		}
		return nil
	}
}

func (p *Program) history(ctx context.Context, limit uint32) ([]*cat.Change, error) {
	client, err := p.connection.operators()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, p.timeout)
	defer cancel()
	response, err := client.History(ctx, connect.NewRequest(&pb.HistoryRequest{Limit: limit}))
	if err != nil {
		return nil, readError(err)
	}
	return response.Msg.GetChanges(), nil
}

func (p *Program) change(c *cat.Change) {
	at := c.GetAt().AsTime().UTC().Format(time.RFC3339)
	fmt.Fprintf(p.Stdout, "version %d  %s  %s  %s\n", c.GetVersion(), at, c.GetAuthor(), c.GetNote())
	keys := make([]string, len(c.GetRecords()))
	for i, r := range c.GetRecords() {
		keys[i] = r.GetKey()
	}
	fmt.Fprint(p.Stdout, indented(keys))
}

func indented(lines []string) string {
	if len(lines) == 0 {
		return ""
	}
	return "  " + strings.Join(lines, "\n  ") + "\n"
}
