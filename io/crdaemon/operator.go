package crdaemon

import (
	"context"
	"net/http"
	"strings"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/types/known/durationpb"

	"crocusrack/core/crcatalogue"
	"crocusrack/core/crmember"
	"crocusrack/io/croperator"
	"crocusrack/schema/crcaller/crcallerconnect"
	pb "crocusrack/schema/crcatalogue"
	operatorpb "crocusrack/schema/croperator"
)

// compressMinBytes is the size from which answers to callers are compressed: a
// token of a stream costs more to compress than it saves.
const compressMinBytes = 1 << 10

func (d *Daemon) callerHandler() http.Handler {
	mux := http.NewServeMux()
	path, handler := crcallerconnect.NewCallerServiceHandler(d.entry, connect.WithReadMaxBytes(d.Settings.MaxRequestBytes), connect.WithCompressMinBytes(compressMinBytes))
	mux.Handle(path, handler)
	return mux
}

func (d *Daemon) operatorHandler() http.Handler {
	mux := http.NewServeMux()
	server := &croperator.Server{
		Current: d.currentCatalogue,
		Latest:  d.latestCatalogue,
		Commit:  d.commit,
		History: func(ctx context.Context, limit int) ([]*pb.Change, error) {
			return d.catalogueStore.History(ctx, limit)
		},
		Status: d.status,
		Dump:   d.dump,
	}
	path, handler := server.Handler()
	mux.Handle(path, handler)
	mux.Handle("/metrics", d.Metrics.Handler())
	return mux
}

func (d *Daemon) currentCatalogue() (croperator.Versioned, bool) {
	set := d.follower.Current()
	if set == nil {
		return croperator.Versioned{}, false
	}
	return versioned(set), true
}

func versioned(set *crcatalogue.Set) croperator.Versioned {
	return croperator.Versioned{Version: set.Version(), Catalogue: set.Catalogue()}
}

func (d *Daemon) latestCatalogue(ctx context.Context) (croperator.Versioned, error) {
	set, err := d.catalogueStore.Load(ctx, d.follower.Current())
	if err != nil {
		return croperator.Versioned{}, err
	}
	return versioned(set), nil
}

// commit makes a catalogue current and in force here.
func (d *Daemon) commit(ctx context.Context, p croperator.Proposal) croperator.Commit {
	if p.DryRun {
		return d.check(ctx, p)
	}
	r := d.catalogueStore.Commit(ctx, crcatalogue.Proposal{
		Base:   p.BaseVersion,
		Wanted: p.Catalogue,
		Author: p.Author,
		Note:   p.Note,
		At:     time.Now(),
		Have:   d.follower.Current(),
	})
	if r.Outcome == crcatalogue.Accepted && r.Set != nil {
		d.follower.Adopt(r.Set)
	}
	return commitEnd(r)
}

func (d *Daemon) check(ctx context.Context, p croperator.Proposal) croperator.Commit {
	if problems := crcatalogue.Validate(p.Catalogue); len(problems) > 0 {
		return croperator.Commit{Result: croperator.Invalid, Detail: detail(problems, nil)}
	}
	set, err := d.catalogueStore.Load(ctx, d.follower.Current())
	if err != nil {
		return croperator.Commit{Result: croperator.Unavailable, Detail: err.Error()}
	}
	if set.Version() != p.BaseVersion {
		return croperator.Commit{Result: croperator.Conflict, Version: set.Version()}
	}
	if problems := crcatalogue.ValidateChange(set, p.Catalogue); len(problems) > 0 {
		return croperator.Commit{Result: croperator.Invalid, Detail: detail(problems, nil)}
	}
	_, change := set.Next(p.Author, p.Note, p.Catalogue)
	end := croperator.Commit{Result: croperator.Committed, Version: p.BaseVersion}
	for _, r := range change.GetRecords() {
		end.Changed = append(end.Changed, r.Key)
	}
	return end
}

func commitEnd(r crcatalogue.CommitResult) croperator.Commit {
	end := croperator.Commit{Version: r.Version, Changed: r.Changed, Detail: detail(r.Problems, r.Err)}
	switch r.Outcome {
	case crcatalogue.Accepted:
		end.Result = croperator.Committed
	case crcatalogue.Conflict:
		end.Result = croperator.Conflict
	case crcatalogue.Invalid:
		end.Result = croperator.Invalid
	case crcatalogue.Unavailable:
		end.Result = croperator.Unavailable
	default:
		end.Result = croperator.Unknown
	}
	return end
}

// detail tells people what is wrong with a catalogue or with the store.
func detail(problems []crcatalogue.Problem, err error) string {
	if len(problems) == 0 && err != nil {
		return err.Error()
	}
	list := make([]string, len(problems))
	for i, p := range problems {
		list[i] = p.String()
	}
	return strings.Join(list, "\n")
}

func (d *Daemon) status() *operatorpb.StatusResponse {
	version, _ := d.follower.Version()
	answer := &operatorpb.StatusResponse{Version: version}
	for _, m := range d.fleet.All() {
		s := instanceStatus(m)
		if at, ok := d.fleet.LastHeard(m.Name); ok {
			s.HeardAgo = durationpb.New(time.Since(at))
		}
		answer.Instances = append(answer.Instances, s)
	}
	answer.Services = d.serviceStatus()
	return answer
}

func instanceStatus(m crmember.Member) *operatorpb.InstanceStatus {
	s := &operatorpb.InstanceStatus{
		Name:             m.Name,
		FailureDomain:    m.FailureDomain,
		State:            m.State.String(),
		Incarnation:      m.Incarnation,
		CatalogueVersion: m.CatalogueVersion,
	}
	if m.Operator.IsValid() {
		s.OperatorAddress = m.Operator.String()
	}
	return s
}

func (d *Daemon) serviceStatus() []*operatorpb.ServiceStatus {
	set := d.follower.Current()
	if set == nil {
		return nil
	}
	var list []*operatorpb.ServiceStatus
	for _, s := range set.Services() {
		status := &operatorpb.ServiceStatus{Name: s.Name}
		for _, e := range set.Endpoints(s.Name) {
			status.Endpoints++
			if set.EndpointOut(e) {
				continue
			}
			status.Usable++
			status.Capacity += float64(e.Capacity)
		}
		if mean, ok := d.loads.mean(s.Name, time.Now()); ok {
			status.InFlight = mean * status.Capacity
		}
		list = append(list, status)
	}
	return list
}

// CatalogueVersion returns the version in force here, or 0 before there is one.
func (d *Daemon) CatalogueVersion() uint64 { return d.version.Load() }
