package croperator

import (
	"context"
	"slices"
	"strings"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	cat "crocusrack/schema/crcatalogue"
	pb "crocusrack/schema/croperator"
)

// SetOut changes only the marks that it names, so that it is tried again on
// top of another operator's change.
func (h handler) SetOut(ctx context.Context, r *connect.Request[pb.SetOutRequest]) (*connect.Response[pb.SetOutResponse], error) {
	m := r.Msg
	if err := checkAuthor(m.GetAuthor()); err != nil {
		return nil, err
	}
	if len(m.GetFailureDomains())+len(m.GetInstances())+len(m.GetEndpoints()) == 0 {
		return nil, invalid("no failure domain, instance or endpoint is named")
	}
	commit := Commit{}
	for range setOutAttempts {
		latest, err := h.server.Latest(ctx)
		if err != nil {
			return nil, storeError(err)
		}
		proposed, err := h.withOut(latest.Catalogue, m)
		if err != nil {
			return nil, err
		}
		if proto.Equal(proposed, latest.Catalogue) {
			return connect.NewResponse(&pb.SetOutResponse{Version: latest.Version}), nil
		}
		commit = h.server.Commit(ctx, Proposal{
			Catalogue:   proposed,
			BaseVersion: latest.Version,
			Author:      m.GetAuthor(),
			Note:        outNote(m),
		})
		if commit.Result != Conflict {
			break
		}
	}
	if err := commit.err(); err != nil {
		return nil, err
	}
	return connect.NewResponse(&pb.SetOutResponse{Version: commit.Version}), nil
}

// outNote is the note in the history, such as "out: noord-a, taalpers-3".
func outNote(m *pb.SetOutRequest) string {
	names := slices.Concat(m.GetFailureDomains(), m.GetInstances(), m.GetEndpoints())
	note := "in: " + strings.Join(names, ", ")
	if m.GetOut() {
		note = "out: " + strings.Join(names, ", ")
	}
	if len(note) > longestNote {
		return strings.ToValidUTF8(note[:longestNote], "")
	}
	return note
}

// withOut returns a copy of the catalogue with the marks of the request.
func (h handler) withOut(c *cat.Catalogue, m *pb.SetOutRequest) (*cat.Catalogue, error) {
	proposed := proto.CloneOf(c)
	if proposed == nil {
		proposed = &cat.Catalogue{}
	}
	for _, name := range m.GetFailureDomains() {
		i := slices.IndexFunc(proposed.GetFailureDomains(), func(f *cat.FailureDomain) bool { return f.GetName() == name })
		if i < 0 {
			return nil, invalid("failure-domains: %q is not in the catalogue", name)
		}
		proposed.FailureDomains[i].Out = m.GetOut()
	}
	for _, name := range m.GetEndpoints() {
		i := slices.IndexFunc(proposed.GetEndpoints(), func(e *cat.Endpoint) bool { return e.GetName() == name })
		if i < 0 {
			return nil, invalid("endpoints: %q is not in the catalogue", name)
		}
		proposed.Endpoints[i].Out = m.GetOut()
	}
	for _, name := range m.GetInstances() {
		if err := h.setInstance(proposed, name, m.GetOut()); err != nil {
			return nil, err
		}
	}
	return proposed, nil
}

// setInstance lists the instance when it is out and strikes it off when it is
// back. An instance that nobody has heard of is refused as a slip.
func (h handler) setInstance(c *cat.Catalogue, name string, out bool) error {
	i := slices.IndexFunc(c.GetInstances(), func(s *cat.InstanceState) bool { return s.GetName() == name })
	if i < 0 && !h.isMember(name) {
		return invalid("instances: no instance is named %q", name)
	}
	if i >= 0 {
		c.Instances = slices.Delete(c.Instances, i, i+1)
	}
	if out {
		c.Instances = append(c.Instances, &cat.InstanceState{Name: name, Out: true})
	}
	slices.SortFunc(c.Instances, func(a, b *cat.InstanceState) int { return strings.Compare(a.GetName(), b.GetName()) })
	return nil
}

func (h handler) isMember(name string) bool {
	return slices.ContainsFunc(h.server.Status().GetInstances(), func(s *pb.InstanceStatus) bool { return s.GetName() == name })
}
