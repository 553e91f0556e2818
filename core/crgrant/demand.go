package crgrant

import (
	"maps"
	"math"
	"slices"
	"time"

	"crocusrack/core/crshare"
	pb "crocusrack/schema/crrouter"
)

const (
	// tenths and hundredths are the units of the rates and of the slots in messages.
	tenths     = 10
	hundredths = 100
	// maxWeight bounds the weights of accounts in messages.
	maxWeight = 1e6
)

// demandsProto encodes demands as messages carry them. It returns nil if there are none.
func demandsProto(d crshare.Demands) []*pb.ServiceDemand {
	var list []*pb.ServiceDemand
	for _, k := range slices.Sorted(maps.Keys(d)) {
		o := d[k]
		m := &pb.ServiceDemand{
			Service: uint32(k), Arrived: units(o.Arrived, tenths), Completed: units(o.Completed, tenths),
			Rejected: units(o.Rejected, tenths), Busy: units(o.Busy, hundredths),
		}
		weighted := false
		for _, account := range slices.Sorted(maps.Keys(o.Accounts)) {
			a := o.Accounts[account]
			m.Accounts = append(m.Accounts, uint32(account))
			m.Demands = append(m.Demands, units(a.PerSecond, tenths))
			m.Weights = append(m.Weights, float32(a.Weight))
			weighted = weighted || a.Weight != 1
		}
		if !weighted {
			m.Weights = nil
		}
		list = append(list, m)
	}
	return list
}

// units returns a value that isn't negative in parts of one.
func units(v, parts float64) uint32 { return uint32(min(math.Round(v*parts), math.MaxUint32)) }

// demandsFromProto decodes demands. It skips accounts without a demand.
func demandsFromProto(list []*pb.ServiceDemand) crshare.Demands {
	d := make(crshare.Demands)
	for _, m := range list[:min(len(list), crshare.MaxServices)] {
		o := crshare.Demand{
			Arrived: float64(m.GetArrived()) / tenths, Completed: float64(m.GetCompleted()) / tenths,
			Rejected: float64(m.GetRejected()) / tenths, Busy: float64(m.GetBusy()) / hundredths,
			Accounts: make(map[crshare.Key]crshare.AccountDemand),
		}
		for i, k := range m.GetAccounts()[:min(len(m.GetAccounts()), crshare.MaxAccounts, len(m.GetDemands()))] {
			a := crshare.AccountDemand{PerSecond: float64(m.GetDemands()[i]) / tenths, Weight: 1}
			if i < len(m.GetWeights()) {
				if w := float64(m.GetWeights()[i]); w > 0 && w <= maxWeight {
					a.Weight = w
				}
			}
			o.Accounts[crshare.Key(k)] = a
		}
		d[crshare.Key(m.GetService())] = o
	}
	return d
}

// applyDemands records what an instance, or several as one sum, told of demands. The demands in
// counted are already part of the sum and are subtracted.
func (s *State) applyDemands(now time.Time, from string, list []*pb.ServiceDemand, counted crshare.Demands) {
	d := demandsFromProto(list)
	for k, o := range d {
		o.Subtract(counted[k])
		d[k] = o
	}
	s.shares.Report(now, from, d)
}
