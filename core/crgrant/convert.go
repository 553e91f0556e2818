package crgrant

import (
	"fmt"
	"net/netip"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"crocusrack/core/crliveness"
	"crocusrack/core/crplace"
	pb "crocusrack/schema/crrouter"
)

// NewEndpoint converts an endpoint message that was read at the given time, to which its
// remaining cold time refers. It returns an error if the address can't be parsed.
func NewEndpoint(now time.Time, m *pb.Endpoint) (*crplace.Endpoint, error) {
	address, err := netip.ParseAddrPort(m.GetAddress())
	if err != nil {
		return nil, fmt.Errorf("endpoint %s: %w", m.GetId(), err)
	}
	e := &crplace.Endpoint{
		ID:            m.GetId(),
		Key:           crplace.KeyOf(m.GetId(), m.GetIncarnation()),
		Incarnation:   m.GetIncarnation(),
		Service:       m.GetService(),
		Address:       address,
		FailureDomain: m.GetFailureDomain(),
		Slots:         int(m.GetSlots()),
		Draining:      m.GetDraining(),
		Version:       m.GetVersion(),
	}
	if left := m.GetColdLeft().AsDuration(); left > 0 {
		e.ColdUntil = now.Add(left)
	}
	return e, nil
}

func endpointProto(now time.Time, e *crplace.Endpoint) *pb.Endpoint {
	m := &pb.Endpoint{
		Id:            e.ID,
		Incarnation:   e.Incarnation,
		Service:       e.Service,
		Address:       e.Address.String(),
		FailureDomain: e.FailureDomain,
		Slots:         uint32(e.Slots),
		Draining:      e.Draining,
		Version:       e.Version,
	}
	if left := e.ColdUntil.Sub(now); left > 0 {
		m.ColdLeft = durationpb.New(left)
	}
	return m
}

func peerProto(i crliveness.Instance) *pb.Peer {
	return &pb.Peer{
		Name: i.Name, FailureDomain: i.FailureDomain, Front: i.Front.String(), Peer: i.Peer.String(), Millicores: i.Millicores,
	}
}

func peerFromProto(m *pb.Peer) (crliveness.Instance, error) {
	front, err := netip.ParseAddrPort(m.GetFront())
	if err != nil {
		return crliveness.Instance{}, fmt.Errorf("front address of instance %q: %w", m.GetName(), err)
	}
	peer, err := netip.ParseAddrPort(m.GetPeer())
	if err != nil {
		return crliveness.Instance{}, fmt.Errorf("peer address of instance %q: %w", m.GetName(), err)
	}
	return crliveness.Instance{
		Name: m.GetName(), FailureDomain: m.GetFailureDomain(), Front: front, Peer: peer, Millicores: m.GetMillicores(),
	}, nil
}
