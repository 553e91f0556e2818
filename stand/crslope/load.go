package crslope

import (
	"google.golang.org/protobuf/proto"

	"crocusrack/core/crload"
	"crocusrack/schema/crpeer"
)

const (
	// sumsPerMessage bounds the sums in one message, as the daemon does.
	sumsPerMessage = 16
	// shardsPerDomain is the count of a service's shards in one failure domain
	// at the target.
	shardsPerDomain = 2
)

// loadTable returns a table in which every sum has just changed.
func loadTable(services int) *crload.Table {
	t := &crload.Table{FailureDomain: domainName(0)}
	for s := range services {
		for shard := range shardsPerDomain {
			t.Set(now, serviceName(s), shard, 300, 20, 16*capacity)
		}
		for d := 1; d < targetDomains; d++ {
			t.Merge(now, []crload.Sum{{
				Service: serviceName(s), FailureDomain: domainName(d), Shard: crload.DomainSum,
				InFlight: 700, Waiting: 40, Capacity: 2 * 16 * capacity, Stamp: uint64(now.UnixMilli()),
			}})
		}
	}
	return t
}

func loadTableMemory(_ *runner, size int) (float64, error) {
	return heapOf(func() *crload.Table { return loadTable(size) }), nil
}

func loadMessageBytes(_ *runner, size int) (float64, error) {
	m := &crpeer.LoadsMessage{FailureDomain: domainName(0)}
	for _, s := range loadTable(size).Export(now, domainName(1), []string{serviceName(0)}, nil, sumsPerMessage) {
		m.Loads = append(m.Loads, &crpeer.LoadSum{
			Service: s.Service, FailureDomain: s.FailureDomain, Shard: int32(s.Shard), InFlight: uint32(s.InFlight),
			Waiting: uint32(s.Waiting), Capacity: uint32(s.Capacity), Stamp: s.Stamp,
		})
	}
	return float64(proto.Size(m)), nil
}
