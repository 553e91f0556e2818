package crcatalogue

import (
	"context"
	"fmt"
	"math/rand/v2"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/testing/protocmp"
	"google.golang.org/protobuf/types/known/durationpb"

	"crocusrack/core/crstore"
	pb "crocusrack/schema/crcatalogue"
	"crocusrack/schema/crpeer"
)

// sample returns a valid catalogue with the given numbers of client accounts and
// endpoints.
func sample(accounts, endpoints int) *pb.Catalogue {
	c := &pb.Catalogue{}
	for i := range 13 {
		c.FailureDomains = append(c.FailureDomains, &pb.FailureDomain{Name: fmt.Sprintf("domain-%02d", i), Region: fmt.Sprint("region-", i%5)})
	}
	for i := range 17 {
		c.Services = append(c.Services, &pb.Service{
			Name: fmt.Sprintf("service-%02d", i), Owner: "pressing-team", Class: ClassInteractive, LoadMultiple: 1.25,
			Kind: pb.ServiceKind_SERVICE_KIND_MODEL, Model: fmt.Sprint("model-", i),
		})
	}
	for i := range endpoints {
		c.Endpoints = append(c.Endpoints, &pb.Endpoint{
			Name: fmt.Sprintf("engine-%05d", i), Service: fmt.Sprintf("service-%02d", i%17), FailureDomain: fmt.Sprintf("domain-%02d", i%13),
			Address: fmt.Sprintf("10.%d.%d.%d:8000", i>>16, i>>8&255, i&255), Capacity: 64, ColdCapacity: 4,
		})
	}
	for i := range accounts {
		c.ClientAccounts = append(c.ClientAccounts, &pb.ClientAccount{
			Name: fmt.Sprintf("account-%05d", i), Rate: 5, Burst: 20, Concurrency: 50, Services: []string{"service-00", "service-01"},
		})
	}
	return c
}

func TestValidate(t *testing.T) {
	cases := []struct {
		modify func(c *pb.Catalogue)
		want   string // path and part of the message; empty means no problem
	}{
		{func(c *pb.Catalogue) {}, ""},
		{func(c *pb.Catalogue) { c.Services[0].LoadMultiple = 0 }, ""},
		{func(c *pb.Catalogue) { c.FailureDomains[1].Name = "domain-00" }, "failure-domains[1].name: \"domain-00\" is the name of failure-domains[0] already"},
		{func(c *pb.Catalogue) { c.Instances = []*pb.InstanceState{{Name: ""}} }, "instances[0].name: is empty"},
		{func(c *pb.Catalogue) { c.ClientAccounts[3].Name = strings.Repeat("a", 129) }, "client-accounts[3].name: has 129 bytes"},
		{func(c *pb.Catalogue) { c.ClientAccounts[3].Name = "Order Desk" }, "client-accounts[3].name: \"Order Desk\" has characters other than"},
		{func(c *pb.Catalogue) { c.ClientAccounts[3].Rate = -1 }, "client-accounts[3].rate: -1 is not"},
		{func(c *pb.Catalogue) { c.ClientAccounts[3].Services[1] = "taal" }, "client-accounts[3].services[1]: there is no service \"taal\""},
		{func(c *pb.Catalogue) { c.ClientAccounts[3].Services[1] = "service-00" }, "client-accounts[3].services[1]: \"service-00\" is listed twice"},
		{func(c *pb.Catalogue) { c.Endpoints[3].Address = "engine-3:8000" }, "endpoints[3].address: \"engine-3:8000\" is no IP"},
		{func(c *pb.Catalogue) { c.Endpoints[3].Address = "0.0.0.0:8000" }, "endpoints[3].address: \"0.0.0.0:8000\" can't be"},
		{func(c *pb.Catalogue) { c.Endpoints[20].Address = c.Endpoints[3].Address }, "endpoints[20].address: 10.0.0.3:8000 is the address of endpoints[3]"},
		{func(c *pb.Catalogue) { c.Endpoints[3].Service = "taal" }, "endpoints[3].service: there is no service"},
		{func(c *pb.Catalogue) { c.Endpoints[3].FailureDomain = "noord-a" }, "endpoints[3].failure-domain: there is no failure domain \"noord-a\""},
		{func(c *pb.Catalogue) { c.Endpoints[3].Capacity, c.Endpoints[3].ColdCapacity = 0, 0 }, "endpoints[3].capacity: is zero"},
		{func(c *pb.Catalogue) { c.Endpoints[3].ColdCapacity = 65 }, "endpoints[3].cold-capacity: 65 is above the capacity of 64"},
		{func(c *pb.Catalogue) { c.Services[2].LoadMultiple = 0.9 }, "services[2].load-multiple: 0.9 is below 1"},
		{func(c *pb.Catalogue) { c.Services[2].Class = "urgent" }, "services[2].class: \"urgent\" is not"},
		{func(c *pb.Catalogue) { c.Services[2].Kind = 0 }, "services[2].kind: SERVICE_KIND_UNSPECIFIED"},
		{func(c *pb.Catalogue) { c.Services[2].Model = "" }, "services[2].model: is empty"},
		{func(c *pb.Catalogue) { c.Services[2].Kind = pb.ServiceKind_SERVICE_KIND_PLAIN }, "services[2].model: is set"},
		{func(c *pb.Catalogue) { c.Services[2].Limits = &pb.Limits{MaxDuration: durationpb.New(-time.Second)} }, "services[2].limits.max-duration: -1s is negative"},
		{func(c *pb.Catalogue) { c.Services[2].Placements = []*pb.Placement{{Role: "prefill", Count: 3}} }, "services[2].placements: want 3 ready endpoints, but the service has 2"},
		{func(c *pb.Catalogue) {
			c.Services[2].Placements = []*pb.Placement{{Role: "prefill"}, {Role: "prefill"}}
		}, "services[2].placements[1]: wants the same role"},
		{func(c *pb.Catalogue) {
			c.Services[2] = largeService("service-02")
			c.Services[2].Model = strings.Repeat("m", 1<<16)
		}, "services[2]: takes "},
	}
	for _, c := range cases {
		cat := sample(4, 34)
		c.modify(cat)
		got := fmt.Sprint(Validate(cat))
		if c.want == "" && got != "[]" || !strings.Contains(got, c.want) {
			t.Errorf("got %s, want %s", got, c.want)
		}
	}
	withoutDomains := sample(0, 34)
	withoutDomains.FailureDomains = nil
	if got := len(Validate(withoutDomains)); got != 34+17 {
		t.Errorf("without failure domains: %d problems, want one for each endpoint and service", got)
	}
}

func TestSetFollowsChanges(t *testing.T) {
	first := FromCatalogue(sample(4, 34), 1)
	wanted, problems := SetOut(first.Catalogue(), []string{"domain-03", "noord-a"}, []string{"entry-1"}, []string{"engine-00005"}, true)
	if got := fmt.Sprint(problems); got != `[failure-domains[1]: there is no failure domain "noord-a"]` {
		t.Errorf("problems of SetOut: %s", got)
	}
	wanted.ClientAccounts = wanted.ClientAccounts[1:]
	wanted.Endpoints[0].Service = "service-01"
	second, change := first.Next("els", "storm", wanted)
	if d := cmp.Diff(wanted, second.Catalogue(), protocmp.Transform()); d != "" {
		t.Errorf("second version (-wanted +got):\n%s", d)
	}
	var keys []string
	for _, r := range change.GetRecords() {
		keys = append(keys, r.GetKey())
	}
	want := []string{"client-account/account-00000", "endpoint/engine-00000", "endpoint/engine-00005", "failure-domain/domain-03", "instance/entry-1"}
	if d := cmp.Diff(want, keys); d != "" {
		t.Errorf("changed keys (-want +got):\n%s", d)
	}
	got := fmt.Sprint(second.FailureDomainOut("domain-03"), second.InstanceOut("entry-1"), second.ClientAccountCount(), len(second.Endpoints("service-00")), len(second.Endpoints("service-01")), len(second.FailureDomains()), len(second.Services()))
	if want := "true true 3 1 3 13 17"; got != want {
		t.Errorf("lookups: %s, want %s", got, want)
	}
	for _, v := range second.Services() {
		if d := cmp.Diff(FromCatalogue(wanted, 1).Endpoints(v.GetName()), second.Endpoints(v.GetName()), protocmp.Transform()); d != "" {
			t.Errorf("endpoints of %s (-rebuilt +updated):\n%s", v.GetName(), d)
		}
	}
	if e, _ := second.Endpoint("engine-00003"); !second.EndpointOut(e) || first.EndpointOut(e) {
		t.Error("the endpoint in domain-03 must be out in the second version only")
	}
	follower, outcome := first.Apply(DeltaFromProto(second.Since(1).Proto()))
	if outcome != Applied || follower.Hash() != second.Hash() {
		t.Errorf("delta: outcome %v, hash %x, want %x", outcome, follower.Hash(), second.Hash())
	}
	if _, outcome := Empty().Apply(Delta{Version: 2, Hash: second.Hash(), Records: second.Since(1).Records}); outcome != Mismatch {
		t.Errorf("delta with a gap: outcome %v, want a mismatch", outcome)
	}
	if s, outcome := second.Apply(first.Since(0)); outcome != NotNewer || s != second {
		t.Errorf("whole set of an older version: outcome %v", outcome)
	}
}

func TestTombstonesArePurgedByVersion(t *testing.T) {
	start, _ := FromCatalogue(sample(3, 0), 1).Next("", "", sample(2, 0))
	at := func(s *Set, version uint64) *Set { return s.with(nil, version) }
	stepwise := at(at(at(start, 20500), 21000), 21700)
	direct := at(start, 21700)
	if stepwise.records.size != 13+17+2 || stepwise.Hash() != direct.Hash() {
		t.Errorf("%d records, hash %x via intermediate versions, %x directly; want the tombstone purged and equal hashes", stepwise.records.size, stepwise.Hash(), direct.Hash())
	}
	if kept := at(start, 20999); kept.records.size != 13+17+3 {
		t.Errorf("%d records at 20999, want the tombstone kept", kept.records.size)
	}
}

func TestWatches(t *testing.T) {
	var members []string
	for i := range 780 {
		members = append(members, fmt.Sprint("entry-", i))
	}
	count := 0
	for _, m := range members {
		if IsWatcher(m, members, DefaultWatchers) {
			count++
		}
	}
	if count != DefaultWatchers {
		t.Errorf("%d watchers, want %d", count, DefaultWatchers)
	}
	random := rand.New(rand.NewPCG(1, 1))
	for range 1000 {
		if d := ReadDelay(780, random); d < 146*time.Second || d > 244*time.Second {
			t.Fatalf("delay %v, want 195 s plus or minus a quarter", d)
		}
	}
}

func TestCommitOutcomes(t *testing.T) {
	f := newFakeStore(1)
	s := plainStore(f)
	commit := func(base uint64, c *pb.Catalogue) CommitResult {
		return s.Commit(context.Background(), Proposal{Base: base, Wanted: c, Author: "els", At: f.now})
	}
	bad := sample(1, 1)
	bad.Endpoints[0].Capacity = 0
	for i, c := range []struct {
		base    uint64
		wanted  *pb.Catalogue
		faults  float64
		outcome CommitOutcome
		version uint64
	}{
		{0, bad, 0, Invalid, 0}, {7, sample(1, 1), 0, Conflict, 0}, {0, sample(1, 1), 0, Accepted, 1}, {1, sample(1, 1), 0, Accepted, 1},
		{1, sample(2, 1), 0, Accepted, 2}, {1, sample(3, 1), 0, Conflict, 2}, {2, sample(3, 1), 1, Unavailable, 0},
	} {
		f.faults = c.faults
		r := commit(c.base, c.wanted)
		if r.Outcome != c.outcome || r.Version != c.version {
			t.Errorf("step %d: %v version %d (%v), want %v version %d", i, r.Outcome, r.Version, r.Err, c.outcome, c.version)
		}
		if r.Outcome == Conflict && c.base == 1 && (len(r.Differences) != 1 || r.Differences[0].Key != "client-account/account-00002") {
			t.Errorf("step %d: differences %v", i, r.Differences)
		}
	}
}

func FuzzDecode(f *testing.F) {
	set := FromCatalogue(sample(2, 2), 3)
	for _, c := range set.split(0) {
		f.Add(c.value)
	}
	head := set.headOf(set.split(0), &pb.Change{Version: 3}, "w")
	f.Add(encode(head))
	f.Add(encode(set.changeOf(head)))
	f.Add(encode(&pb.Chunk{Records: []*pb.Record{{Key: "endpoint/a", Version: 1, Deleted: true}, {Key: "service/b", Version: 1}}}))
	f.Fuzz(func(t *testing.T, value []byte) {
		if h, err := DecodeHead(value); err == nil && (h.GetVersion() == 0 || len(h.GetChunks()) == 0) {
			t.Errorf("head without version or chunks: %v", h)
		}
		_, _ = DecodeChange(value)
		list, err := DecodeChunk(chunkName(value), value)
		if err != nil {
			return
		}
		for _, r := range list {
			if k, ok := parseKey(r.GetKey()); !ok || nameProblem(k.name) != "" || r.GetVersion() == 0 || (r.GetValue() == nil) != r.GetDeleted() {
				t.Errorf("invalid record %v", r)
			}
		}
		var hash uint64
		for _, r := range list {
			hash += hashRecord(r)
		}
		s, outcome := Empty().Apply(Delta{Version: maxVersion, Hash: hash, Records: list, Whole: true})
		if outcome == Applied && s.Hash() != hash {
			t.Errorf("applied with hash %x, want %x", s.Hash(), hash)
		}
		if _, err := DecodeChunk(ChunkPrefix+"0", value); err == nil {
			t.Error("content under a wrong name: no error")
		}
	})
}

func ExampleValidate() {
	c := sample(0, 2)
	c.Endpoints[1].Address = "engine"
	c.Endpoints[1].Capacity = 2
	for _, p := range Validate(c) {
		fmt.Println(p)
	}
	// Output:
	// endpoints[1].address: "engine" is no IP address and port
	// endpoints[1].cold-capacity: 4 is above the capacity of 2
}

// targetSet returns a set of the size expected in two years: 14000 client accounts
// and 6100 endpoints.
func targetSet() *Set { return FromCatalogue(sample(14000, 6100), 1) }

// oneAccount returns the catalogue of s with one client account changed.
func oneAccount(s *Set) *pb.Catalogue {
	c := s.Catalogue()
	c.ClientAccounts[7000].Rate++
	return c
}

func BenchmarkApply(b *testing.B) {
	for _, kind := range []string{"account", "endpoint"} {
		b.Run(kind, func(b *testing.B) {
			set := targetSet()
			wanted := oneAccount(set)
			if kind == "endpoint" {
				wanted = set.Catalogue()
				wanted.Endpoints[3000].Out = true
			}
			next, _ := set.Next("els", "", wanted)
			delta := next.Since(1)
			b.ReportMetric(float64(proto.Size(delta.Proto())), "delta-B")
			b.ReportAllocs()
			for b.Loop() {
				set.Apply(delta)
			}
		})
	}
}

func BenchmarkLookup(b *testing.B) {
	set := targetSet()
	b.ReportAllocs()
	for b.Loop() {
		set.ClientAccount("account-07000")
		set.Service("service-03")
		set.Endpoints("service-03")
	}
}

func BenchmarkSince(b *testing.B) {
	set := targetSet()
	for b.Loop() {
		set.Since(1)
	}
}

func BenchmarkCommit(b *testing.B) {
	f := newFakeStore(1)
	s := plainStore(f)
	first := s.Commit(context.Background(), Proposal{Wanted: targetSet().Catalogue()})
	largest, total := 0, 0
	for name, h := range f.objects {
		if size := len(h[0].Value); strings.HasPrefix(name, ChunkPrefix) {
			largest, total = max(largest, size), total+size
		}
	}
	chunks := len(f.objects) - 2
	wanted := oneAccount(first.Set)
	var written, calls int
	f.written = func(o crstore.Object) { written += len(o.Value); calls++ }
	set := first.Set
	for b.Loop() {
		wanted.ClientAccounts[7000].Rate++
		set = s.Commit(context.Background(), Proposal{Base: set.Version(), Wanted: wanted, Have: set}).Set
	}
	b.ReportMetric(float64(len(f.current(HeadName).Value)), "head-B")
	b.ReportMetric(float64(chunks), "chunks")
	b.ReportMetric(float64(total), "all-chunks-B")
	b.ReportMetric(float64(largest), "largest-chunk-B")
	b.ReportMetric(float64(written)/float64(set.Version()-1), "written-B/change")
	b.ReportMetric(float64(calls)/float64(set.Version()-1), "writes/change")
}

func BenchmarkMemory(b *testing.B) {
	data := encode(targetSet().Since(0).Proto())
	var before, after runtime.MemStats
	for b.Loop() {
		runtime.GC()
		runtime.ReadMemStats(&before)
		p := &crpeer.PullCatalogueResponse{}
		if err := proto.Unmarshal(data, p); err != nil {
			b.Fatal(err)
		}
		set, _ := Empty().Apply(DeltaFromProto(p))
		p = nil
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc)-float64(before.HeapAlloc), "set-B")
		b.ReportMetric(float64(len(data)), "whole-pull-B")
		runtime.KeepAlive(set)
	}
}
