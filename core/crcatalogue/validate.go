package crcatalogue

import (
	"fmt"
	"math"
	"net/netip"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	pb "crocusrack/schema/crcatalogue"
)

// Problem is a validation error of a catalogue.
type Problem struct {
	// Path is the path of the field, such as endpoints[3].address.
	Path string
	// Message describes what is wrong with the field.
	Message string
}

// String returns the path and the message, separated by a colon.
func (p Problem) String() string { return p.Path + ": " + p.Message }

const (
	// maxNameBytes is the maximum length of names and other short texts.
	maxNameBytes = 128
	// maxRecordBytes is the maximum size of an encoded record. It keeps a stored
	// chunk far below the store's limit of one megabyte.
	maxRecordBytes = 64 << 10
)

// The classes of services, most urgent first.
const (
	ClassInteractive = "interactive"
	ClassStandard    = "standard"
	ClassBatch       = "batch"
)

// Validate returns all problems of a catalogue. A catalogue without problems may
// be committed.
func Validate(c *pb.Catalogue) []Problem {
	v := newValidator(c)
	for i, d := range c.GetFailureDomains() {
		v.failureDomain(fmt.Sprintf("failure-domains[%d]", i), d)
	}
	for i, s := range c.GetServices() {
		v.service(fmt.Sprintf("services[%d]", i), s)
	}
	for i, e := range c.GetEndpoints() {
		v.endpoint(fmt.Sprintf("endpoints[%d]", i), e)
	}
	for i, a := range c.GetClientAccounts() {
		v.clientAccount(fmt.Sprintf("client-accounts[%d]", i), a)
	}
	for i, s := range c.GetInstances() {
		v.commonFields(fmt.Sprintf("instances[%d]", i), key{KindInstance, s.GetName()}, s)
	}
	return v.problems
}

// ValidateChange returns the problems of a change from one version to another catalogue, which
// is valid by itself: the services of a client account may not become all services merely since
// its list became empty.
func ValidateChange(from *Set, to *pb.Catalogue) []Problem {
	var problems []Problem
	for i, a := range to.GetClientAccounts() {
		old, ok := from.ClientAccount(a.GetName())
		if !ok || len(old.GetServices()) == 0 || len(a.GetServices()) > 0 || a.GetAllServices() {
			continue
		}
		problems = append(problems, Problem{
			Path: fmt.Sprintf("client-accounts[%d].services", i),
			Message: fmt.Sprintf("is empty, which allows all services; it listed %d before. Set all-services, or remove the account",
				len(old.GetServices())),
		})
	}
	return problems
}

// endpointAddress is the address of an endpoint of a service.
type endpointAddress struct {
	service string
	address netip.AddrPort
}

// endpointCount counts the endpoints of a service: all of them, and those in a
// known failure domain.
type endpointCount struct {
	all, placed uint64
}

// validator collects problems. newValidator registers all names, so that
// references can be checked in any order.
type validator struct {
	problems []Problem
	domains  map[string]bool
	services map[string]bool
	// counts holds the counts of endpoints by service.
	counts map[string]endpointCount
	// firstPath and addresses hold the path of the first record with a key or an
	// address, to find duplicates.
	firstPath map[key]string
	addresses map[endpointAddress]string
}

func newValidator(c *pb.Catalogue) *validator {
	v := &validator{
		domains:   make(map[string]bool),
		services:  make(map[string]bool),
		counts:    make(map[string]endpointCount),
		firstPath: make(map[key]string),
		addresses: make(map[endpointAddress]string),
	}
	for _, d := range c.GetFailureDomains() {
		v.domains[d.GetName()] = true
	}
	for _, s := range c.GetServices() {
		v.services[s.GetName()] = true
	}
	for _, e := range c.GetEndpoints() {
		n := v.counts[e.GetService()]
		n.all++
		if v.domains[e.GetFailureDomain()] {
			n.placed++
		}
		v.counts[e.GetService()] = n
	}
	return v
}

func (v *validator) addf(path, format string, args ...any) {
	v.problems = append(v.problems, Problem{Path: path, Message: fmt.Sprintf(format, args...)})
}

// commonFields checks what all kinds of records have in common: the name is valid and
// unique, and the encoded record is not too large.
func (v *validator) commonFields(path string, k key, m proto.Message) {
	if problem := nameProblem(k.name); problem != "" {
		v.addf(path+".name", "%s", problem)
	}
	if first, known := v.firstPath[k]; known {
		v.addf(path+".name", "%q is the name of %s already", k.name, first)
	} else {
		v.firstPath[k] = path
	}
	if size := proto.Size(m); size > maxRecordBytes {
		v.addf(path, "takes %d bytes, at most %d are allowed", size, maxRecordBytes)
	}
}

// nameProblem returns what is wrong with a name, or "" if it is valid.
func nameProblem(name string) string {
	if name == "" {
		return "is empty"
	}
	if len(name) > maxNameBytes {
		return fmt.Sprintf("has %d bytes, at most %d are allowed", len(name), maxNameBytes)
	}
	for _, c := range []byte(name) {
		letter := c >= 'a' && c <= 'z' || c >= '0' && c <= '9'
		if !letter && c != '.' && c != '_' && c != '-' {
			return fmt.Sprintf("%q has characters other than a-z, 0-9, dot, underscore and hyphen", name)
		}
	}
	return ""
}

// text checks the length of a short text that isn't a reference.
func (v *validator) text(path, text string) {
	if len(text) > maxNameBytes {
		v.addf(path, "has %d bytes, at most %d are allowed", len(text), maxNameBytes)
	}
}

func (v *validator) failureDomain(path string, d *pb.FailureDomain) {
	v.commonFields(path, key{KindFailureDomain, d.GetName()}, d)
	v.text(path+".region", d.GetRegion())
}

func (v *validator) service(path string, s *pb.Service) {
	v.commonFields(path, key{KindService, s.GetName()}, s)
	v.text(path+".owner", s.GetOwner())
	switch s.GetClass() {
	case ClassInteractive, ClassStandard, ClassBatch:
	default:
		v.addf(path+".class", "%q is not interactive, standard or batch", s.GetClass())
	}
	if m := s.GetLoadMultiple(); m != 0 && (!finite(m) || m < 1) {
		v.addf(path+".load-multiple", "%v is below 1, where no endpoint could take the mean load", m)
	}
	v.serviceKind(path, s)
	v.limits(path+".limits", s.GetLimits())
	n := v.counts[s.GetName()]
	if n.all > 0 && n.placed == 0 {
		v.addf(path, "all %d endpoints are in unknown failure domains", n.all)
	}
}

func (v *validator) serviceKind(path string, s *pb.Service) {
	switch s.GetKind() {
	case pb.ServiceKind_SERVICE_KIND_MODEL:
		if s.GetModel() == "" {
			v.addf(path+".model", "is empty, but the service is a model service")
		}
		v.text(path+".model", s.GetModel())
		v.placements(path, s)
	case pb.ServiceKind_SERVICE_KIND_PLAIN:
		if s.GetModel() != "" {
			v.addf(path+".model", "is set, but the service is a plain one")
		}
		if len(s.GetPlacements()) > 0 {
			v.addf(path+".placements", "are set, but the service is a plain one")
		}
	default:
		v.addf(path+".kind", "%s is neither a model nor a plain service", s.GetKind())
	}
}

// placementKey identifies a placement within a service.
type placementKey struct {
	role, version, adapter string
}

func (v *validator) placements(path string, s *pb.Service) {
	var wanted uint64
	first := make(map[placementKey]int)
	for i, p := range s.GetPlacements() {
		item := fmt.Sprintf("%s.placements[%d]", path, i)
		k := placementKey{p.GetRole(), p.GetVersion(), p.GetAdapter()}
		if j, known := first[k]; known {
			v.addf(item, "wants the same role, version and adapter as placements[%d]", j)
		} else {
			first[k] = i
		}
		v.text(item+".role", p.GetRole())
		v.text(item+".version", p.GetVersion())
		v.text(item+".adapter", p.GetAdapter())
		wanted += uint64(p.GetCount())
	}
	if n := v.counts[s.GetName()].all; wanted > n {
		v.addf(path+".placements", "want %d ready endpoints, but the service has %d", wanted, n)
	}
}

func (v *validator) limits(path string, l *pb.Limits) {
	v.duration(path+".max-duration", l.GetMaxDuration())
	v.duration(path+".max-queue-wait", l.GetMaxQueueWait())
}

func (v *validator) duration(path string, d *durationpb.Duration) {
	if d == nil {
		return
	}
	if err := d.CheckValid(); err != nil {
		v.addf(path, "is out of range")
		return
	}
	if d.AsDuration() < 0 {
		v.addf(path, "%s is negative", d.AsDuration())
	}
}

func (v *validator) endpoint(path string, e *pb.Endpoint) {
	v.commonFields(path, key{KindEndpoint, e.GetName()}, e)
	v.reference(path+".service", "service", e.GetService(), v.services)
	v.reference(path+".failure-domain", "failure domain", e.GetFailureDomain(), v.domains)
	v.text(path+".role", e.GetRole())
	v.address(path+".address", e)
	if e.GetCapacity() == 0 {
		v.addf(path+".capacity", "is zero; to take the endpoint out of service, set out")
	}
	if e.GetColdCapacity() > e.GetCapacity() {
		v.addf(path+".cold-capacity", "%d is above the capacity of %d", e.GetColdCapacity(), e.GetCapacity())
	}
}

func (v *validator) reference(path, noun, name string, known map[string]bool) {
	if !known[name] {
		v.addf(path, "there is no %s %q", noun, name)
	}
}

func (v *validator) address(path string, e *pb.Endpoint) {
	address, err := netip.ParseAddrPort(e.GetAddress())
	if err != nil {
		v.addf(path, "%q is no IP address and port", e.GetAddress())
		return
	}
	if address.Port() == 0 || address.Addr().IsUnspecified() || address.Addr().IsMulticast() {
		v.addf(path, "%q can't be connected to", e.GetAddress())
	}
	k := endpointAddress{service: e.GetService(), address: address}
	if first, known := v.addresses[k]; known {
		v.addf(path, "%s is the address of %s of the same service", address, first)
		return
	}
	v.addresses[k] = path[:len(path)-len(".address")]
}

func (v *validator) clientAccount(path string, a *pb.ClientAccount) {
	v.commonFields(path, key{KindClientAccount, a.GetName()}, a)
	if r := a.GetRate(); !finite(r) || r < 0 {
		v.addf(path+".rate", "%v is not a rate of zero or more", r)
	}
	if n := len(a.GetServices()); n > 0 && a.GetAllServices() {
		v.addf(path+".all-services", "is true beside a list of %d services", n)
	}
	seen := make(map[string]bool)
	for i, s := range a.GetServices() {
		item := fmt.Sprintf("%s.services[%d]", path, i)
		v.reference(item, "service", s, v.services)
		if seen[s] {
			v.addf(item, "%q is listed twice", s)
		}
		seen[s] = true
	}
}

func finite(f float64) bool { return !math.IsNaN(f) && !math.IsInf(f, 0) }
