// Package crmember implements the membership protocol of the fleet. It decides which
// instances are alive, suspected, leaving or dead, and which ones to gossip with next.
// It follows SWIM (Das, Gupta, Motivala 2002): each instance probes a bounded set of
// neighbours, a suspected instance refutes the suspicion with a higher incarnation, and
// updates are piggybacked on the probes. The package does no I/O, starts no goroutines
// and takes the time from its caller. A Table is not safe for concurrent use; the caller
// holds a lock.
package crmember

import (
	"net/netip"

	"crocusrack/core/crhash"
)

// State is the state of a member. Of two records with the same incarnation and run, the
// one with the higher state replaces the other.
type State uint8

// The states, in ascending order of precedence.
const (
	Alive State = iota
	Suspect
	Leaving
	Dead
)

var stateNames = [...]string{Alive: "alive", Suspect: "suspect", Leaving: "leaving", Dead: "dead"}

// String returns the name of the state in lower case, or "unknown".
func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return "unknown"
}

// Member is the record of one instance in a Table.
type Member struct {
	Name          string
	FailureDomain string
	// Incarnation increases with every start of the process, every refuted suspicion and
	// every leave.
	Incarnation uint64
	// Run is a random number that identifies this run of the process.
	Run   uint64
	State State
	// Caller, Peer and Operator are the addresses of the advertised listeners. A record
	// without Peer is a short record: the receiver already knows the addresses of that run.
	Caller, Peer, Operator netip.AddrPort
	// CatalogueVersion is the last reported version of the catalogue in force on the
	// instance. It is up to date only for instances that exchange messages with this one.
	CatalogueVersion uint64
}

// shortRecord returns the record without the addresses, the failure domain and the
// catalogue version, which receivers know if they know the run.
func (m Member) shortRecord() Member {
	return Member{Name: m.Name, Incarnation: m.Incarnation, Run: m.Run, State: m.State}
}

// replaces reports whether the record m is newer than the record o of the same member.
func (m Member) replaces(o Member) bool {
	if m.Incarnation != o.Incarnation {
		return m.Incarnation > o.Incarnation
	}
	if m.Run != o.Run {
		return m.Run > o.Run
	}
	return m.State > o.State
}

// hash returns the contribution of the member to the hash of a table. A suspicion does
// not change it, and a dead member contributes 0.
func (m Member) hash() uint64 {
	if m.State == Dead {
		return 0
	}
	var leaving uint64
	if m.State == Leaving {
		leaving = 1
	}
	return crhash.Mix(crhash.Of(m.Name), crhash.Mix(m.Incarnation, m.Run^leaving))
}

// Message is the request and the reply of a gossip exchange between two instances.
type Message struct {
	From             string
	Incarnation      uint64
	Members          []Member
	CatalogueVersion uint64
	// CatalogueHash is set and read by the user of this package; the Table ignores it.
	CatalogueHash uint64
	// MemberHash is the hash of the sender's table.
	MemberHash uint64
}
