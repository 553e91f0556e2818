package crslope

import (
	"fmt"
	"net/netip"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"crocusrack/core/crmember"
	"crocusrack/core/crshard"
	pb "crocusrack/schema/crcatalogue"
)

const (
	capacity     = 32
	coldCapacity = 4
	accountRate  = 9
)

// now is the time of all measurements without sockets.
var now = time.Unix(1_800_000_000, 0)

func domainName(i int) string  { return fmt.Sprintf("domain-%02d", i%targetDomains) }
func serviceName(i int) string { return fmt.Sprintf("model-%02d", i%targetServices) }
func daemonName(i int) string  { return fmt.Sprintf("%s-entry-%03d", domainName(i), i) }
func accountName(i int) string { return fmt.Sprintf("account-%05d", i) }

// endpointName is spread over all pairs of a service and a failure domain.
func endpointName(i int) string { return fmt.Sprintf("%s-engine-%04d", serviceName(i), i) }

func address(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 7300)
}

// members returns the records of a fleet.
func members(count int) []crmember.Member {
	list := make([]crmember.Member, count)
	for i := range list {
		list[i] = crmember.Member{
			Name:             daemonName(i),
			FailureDomain:    domainName(i),
			Incarnation:      uint64(now.UnixMilli()) + uint64(i),
			Run:              uint64(i+1) * 0x9e3779b97f4a7c15,
			Caller:           address(3 * i),
			Peer:             address(3*i + 1),
			Operator:         address(3*i + 2),
			CatalogueVersion: 1,
		}
	}
	return list
}

func instances(count int) []crshard.Instance {
	list := make([]crshard.Instance, count)
	for i := range list {
		list[i] = crshard.Instance{Name: daemonName(i), FailureDomain: domainName(i)}
	}
	return list
}

func endpoints(count int) []crshard.Endpoint {
	list := make([]crshard.Endpoint, count)
	for i := range list {
		list[i] = crshard.Endpoint{
			Name:          endpointName(i),
			Service:       serviceName(i),
			FailureDomain: domainName(i / targetServices),
			Address:       address(i),
			Capacity:      capacity,
			ColdCapacity:  coldCapacity,
		}
	}
	return list
}

// catalogue returns a valid catalogue of the target's services and failure
// domains.
func catalogue(endpointCount, accountCount int) *pb.Catalogue {
	c := &pb.Catalogue{}
	for i := range targetDomains {
		c.FailureDomains = append(c.FailureDomains, &pb.FailureDomain{
			Name: domainName(i), Region: fmt.Sprintf("region-%d", i%targetRegions),
		})
	}
	for i := range targetServices {
		c.Services = append(c.Services, service(serviceName(i)))
	}
	for _, e := range endpoints(endpointCount) {
		c.Endpoints = append(c.Endpoints, &pb.Endpoint{
			Name: e.Name, Service: e.Service, FailureDomain: e.FailureDomain, Address: e.Address.String(),
			Capacity: capacity, ColdCapacity: coldCapacity, ChecksOrders: true,
		})
	}
	for i := range accountCount {
		c.ClientAccounts = append(c.ClientAccounts, &pb.ClientAccount{
			Name: accountName(i), Rate: accountRate, Burst: 2 * accountRate, Concurrency: 8 * accountRate,
		})
	}
	return c
}

func service(name string) *pb.Service {
	return &pb.Service{
		Name:         name,
		Owner:        "office team",
		Kind:         pb.ServiceKind_SERVICE_KIND_MODEL,
		Class:        "interactive",
		LoadMultiple: 1.25,
		Model:        name + "-7b",
		Limits: &pb.Limits{
			MaxPromptBytes: 1 << 18,
			MaxTokens:      2048,
			MaxDuration:    durationpb.New(2 * time.Minute),
			MaxQueueWait:   durationpb.New(2 * time.Second),
		},
	}
}
