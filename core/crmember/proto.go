package crmember

import (
	"fmt"
	"net/netip"

	pb "crocusrack/schema/crpeer"
)

// maxIncarnation bounds received incarnations, so that a higher one always exists.
const maxIncarnation = 1 << 62

// Proto returns the message as a message of the peer protocol.
func (m Message) Proto() *pb.GossipMessage {
	return &pb.GossipMessage{
		From:             m.From,
		Incarnation:      m.Incarnation,
		Members:          MembersProto(m.Members),
		CatalogueVersion: m.CatalogueVersion,
		CatalogueHash:    m.CatalogueHash,
		MemberHash:       m.MemberHash,
	}
}

// FromProto converts a message of the peer protocol. It returns an error if any member
// has no name, an unknown state, an incarnation above 2^62, or an address that is not an
// IP address with a port.
func FromProto(p *pb.GossipMessage) (Message, error) {
	members, err := MembersFromProto(p.GetMembers())
	if err != nil {
		return Message{}, err
	}
	return Message{
		From:             p.GetFrom(),
		Incarnation:      p.GetIncarnation(),
		Members:          members,
		CatalogueVersion: p.GetCatalogueVersion(),
		CatalogueHash:    p.GetCatalogueHash(),
		MemberHash:       p.GetMemberHash(),
	}, nil
}

// MembersProto returns the members as messages of the peer protocol.
func MembersProto(members []Member) []*pb.Member {
	var list []*pb.Member
	for _, m := range members {
		list = append(list, &pb.Member{
			Name:             m.Name,
			FailureDomain:    m.FailureDomain,
			Incarnation:      m.Incarnation,
			State:            pb.MemberState(m.State) + pb.MemberState_MEMBER_STATE_ALIVE,
			CallerAddress:    addressText(m.Caller),
			PeerAddress:      addressText(m.Peer),
			OperatorAddress:  addressText(m.Operator),
			CatalogueVersion: m.CatalogueVersion,
			Run:              m.Run,
		})
	}
	return list
}

// MembersFromProto converts members of the peer protocol. It returns an error in the same
// cases as FromProto.
func MembersFromProto(list []*pb.Member) ([]Member, error) {
	var members []Member
	for i, p := range list {
		m, err := memberFromProto(p)
		if err != nil {
			return nil, fmt.Errorf("members[%d] %q: %w", i, p.GetName(), err)
		}
		members = append(members, m)
	}
	return members, nil
}

func memberFromProto(p *pb.Member) (Member, error) {
	m := Member{
		Name:             p.GetName(),
		FailureDomain:    p.GetFailureDomain(),
		Incarnation:      p.GetIncarnation(),
		Run:              p.GetRun(),
		CatalogueVersion: p.GetCatalogueVersion(),
	}
	if m.Name == "" {
		return Member{}, fmt.Errorf("name: empty")
	}
	if m.Incarnation > maxIncarnation {
		return Member{}, fmt.Errorf("incarnation: %d is out of range", m.Incarnation)
	}
	if s := p.GetState(); s < pb.MemberState_MEMBER_STATE_ALIVE || s > pb.MemberState_MEMBER_STATE_DEAD {
		return Member{}, fmt.Errorf("state: unknown state %d", s)
	}
	m.State = State(p.GetState() - pb.MemberState_MEMBER_STATE_ALIVE)
	addresses := []struct {
		key  string
		text string
		to   *netip.AddrPort
	}{
		{"caller-address", p.GetCallerAddress(), &m.Caller},
		{"peer-address", p.GetPeerAddress(), &m.Peer},
		{"operator-address", p.GetOperatorAddress(), &m.Operator},
	}
	for _, a := range addresses {
		if a.text == "" {
			continue
		}
		address, err := netip.ParseAddrPort(a.text)
		if err != nil {
			return Member{}, fmt.Errorf("%s: %w", a.key, err)
		}
		*a.to = address
	}
	return m, nil
}

func addressText(a netip.AddrPort) string {
	if !a.IsValid() {
		return ""
	}
	return a.String()
}
