package crshare

import (
	"cmp"
	"maps"
	"slices"

	"crocusrack/core/crhash"
)

// MaxAccounts bounds the client accounts of one service in a message, and MaxServices the
// services.
const (
	MaxAccounts = 16
	MaxServices = 4
)

// Key identifies a service or a client account in messages. It is the lower half of the hash
// of its name. Accounts that share a key share their part of a service.
type Key uint32

// KeyOf returns the key of a name. The empty name is that of requests without an account.
func KeyOf(name string) Key { return Key(crhash.Of(name)) }

// Demand is what client accounts ask of a service and what the service does, as one
// instance, or several as one sum, saw it lately. All rates are attempts per second.
type Demand struct {
	// Arrived counts the attempts that arrived and could be in time, Completed those that
	// endpoints completed, and Rejected those that endpoints rejected.
	Arrived, Completed, Rejected float64
	// Busy is the mean number of slots that the completed attempts took: their rate times the
	// time that each took a slot.
	Busy float64
	// Accounts holds the accounts that ask most.
	Accounts map[Key]AccountDemand
}

// AccountDemand is the rate at which attempts of one client account arrive, and the weight
// of the account.
type AccountDemand struct {
	PerSecond, Weight float64
}

// add adds another demand.
func (d *Demand) add(o Demand) {
	d.Arrived += o.Arrived
	d.Completed += o.Completed
	d.Rejected += o.Rejected
	d.Busy += o.Busy
	for k, a := range o.Accounts {
		if d.Accounts == nil {
			d.Accounts = make(map[Key]AccountDemand)
		}
		d.Accounts[k] = AccountDemand{d.Accounts[k].PerSecond + a.PerSecond, max(d.Accounts[k].Weight, a.Weight)}
	}
}

// Subtract removes a demand that is part of this one. No rate falls below zero.
func (d *Demand) Subtract(o Demand) {
	d.Arrived = max(0, d.Arrived-o.Arrived)
	d.Completed = max(0, d.Completed-o.Completed)
	d.Rejected = max(0, d.Rejected-o.Rejected)
	d.Busy = max(0, d.Busy-o.Busy)
	for k, a := range d.Accounts {
		if a.PerSecond -= o.Accounts[k].PerSecond; a.PerSecond > 0 {
			d.Accounts[k] = a
		} else {
			delete(d.Accounts, k)
		}
	}
}

// Demands holds demands by service.
type Demands map[Key]Demand

// bounded returns the demands with at most MaxServices services and MaxAccounts accounts of
// each, those that ask most.
func (d Demands) bounded() Demands {
	keep := make(Demands, len(d))
	for _, k := range largest(d, MaxServices, func(o Demand) float64 { return o.Arrived }) {
		o := d[k]
		accounts := make(map[Key]AccountDemand, len(o.Accounts))
		for _, a := range largest(o.Accounts, MaxAccounts, func(a AccountDemand) float64 { return a.PerSecond }) {
			accounts[a] = o.Accounts[a]
		}
		o.Accounts = accounts
		keep[k] = o
	}
	return keep
}

// largest returns the keys of the n entries with the largest sizes.
func largest[V any](m map[Key]V, n int, size func(V) float64) []Key {
	keys := slices.SortedFunc(maps.Keys(m), func(a, b Key) int {
		return cmp.Or(cmp.Compare(size(m[b]), size(m[a])), cmp.Compare(a, b))
	})
	return keys[:min(n, len(keys))]
}
