// Package crcatalogue validates, versions and stores the catalogue, and computes
// the deltas that peers exchange.
//
// The catalogue is a set of records. A change gives the changed records the next
// version, and a deleted record leaves a tombstone. Versions only grow. The
// platform's store holds the records in chunks, which a head object names; the
// head makes a version current.
//
// The package does no I/O of its own and starts no goroutines: it accesses the
// store through function fields. A Set is immutable and may be shared between
// goroutines. A Collector is not safe for concurrent use, so callers must lock.
package crcatalogue

import (
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	pb "crocusrack/schema/crcatalogue"
)

// Kind is the kind of a record, the first part of its key.
type Kind string

// The kinds of records.
const (
	KindFailureDomain Kind = "failure-domain"
	KindService       Kind = "service"
	KindEndpoint      Kind = "endpoint"
	KindClientAccount Kind = "client-account"
	KindInstance      Kind = "instance"
)

// key identifies a record within a set. Its text form is kind/name.
type key struct {
	kind Kind
	name string
}

func (k key) String() string { return string(k.kind) + "/" + k.name }

// parseKey parses kind/name. It returns false if the text has no slash.
func parseKey(text string) (key, bool) {
	kind, name, ok := strings.Cut(text, "/")
	return key{kind: Kind(kind), name: name}, ok
}

// maxVersion is the highest valid version. It leaves room for increments without
// overflow.
const maxVersion = 1 << 62

// checkRecord returns an error unless the key is valid and matches the value, and
// the version is in range.
func checkRecord(r *pb.Record) error {
	k, ok := parseKey(r.GetKey())
	if !ok {
		return fmt.Errorf("record %q: the key has no kind", r.GetKey())
	}
	if problem := nameProblem(k.name); problem != "" {
		return fmt.Errorf("record %q: name %s", r.GetKey(), problem)
	}
	if r.GetVersion() == 0 || r.GetVersion() > maxVersion {
		return fmt.Errorf("record %q: version %d is out of range", r.GetKey(), r.GetVersion())
	}
	if r.GetDeleted() {
		return checkTombstone(k, r)
	}
	if got := valueKey(r); got != k {
		return fmt.Errorf("record %q: holds %q", r.GetKey(), got)
	}
	return nil
}

// checkTombstone returns an error if a deleted record has a value or its key has
// an unknown kind.
func checkTombstone(k key, r *pb.Record) error {
	if r.GetValue() != nil {
		return fmt.Errorf("record %q: deleted, but has a value", r.GetKey())
	}
	switch k.kind {
	case KindFailureDomain, KindService, KindEndpoint, KindClientAccount, KindInstance:
		return nil
	}
	return fmt.Errorf("record %q: unknown kind", r.GetKey())
}

// valueKey returns the key that belongs to the record's value, or the zero key if
// the record has no value.
func valueKey(r *pb.Record) key {
	switch v := r.GetValue().(type) {
	case *pb.Record_FailureDomain:
		return key{KindFailureDomain, v.FailureDomain.GetName()}
	case *pb.Record_Service:
		return key{KindService, v.Service.GetName()}
	case *pb.Record_Endpoint:
		return key{KindEndpoint, v.Endpoint.GetName()}
	case *pb.Record_ClientAccount:
		return key{KindClientAccount, v.ClientAccount.GetName()}
	case *pb.Record_Instance:
		return key{KindInstance, v.Instance.GetName()}
	}
	return key{}
}

// records returns the records of a catalogue, with version 0. They share the
// catalogue's messages.
func records(c *pb.Catalogue) []*pb.Record {
	var list []*pb.Record
	for _, v := range c.GetFailureDomains() {
		list = append(list, &pb.Record{Value: &pb.Record_FailureDomain{FailureDomain: v}})
	}
	for _, v := range c.GetServices() {
		list = append(list, &pb.Record{Value: &pb.Record_Service{Service: v}})
	}
	for _, v := range c.GetEndpoints() {
		list = append(list, &pb.Record{Value: &pb.Record_Endpoint{Endpoint: v}})
	}
	for _, v := range c.GetClientAccounts() {
		list = append(list, &pb.Record{Value: &pb.Record_ClientAccount{ClientAccount: v}})
	}
	for _, v := range c.GetInstances() {
		list = append(list, &pb.Record{Value: &pb.Record_Instance{Instance: v}})
	}
	for _, r := range list {
		r.Key = valueKey(r).String()
	}
	return list
}

// deterministic gives equal messages an equal encoding, which the hash of a set and
// the names of chunks require.
var deterministic = proto.MarshalOptions{Deterministic: true}

// encode marshals a message that this package has built or decoded. It panics on
// an error, which can't occur for such messages.
func encode(m proto.Message) []byte {
	data, err := deterministic.Marshal(m)
	if err != nil {
		panic(fmt.Sprintf("crcatalogue: encode %T: %v", m, err))
	}
	return data
}

// hashRecord returns the hash of a record. The hash of a set is the sum of the
// hashes of its records, modulo 2^64.
func hashRecord(r *pb.Record) uint64 { return xxhash.Sum64(encode(r)) }

// sameValue reports whether two records are equal apart from their versions.
func sameValue(a, b *pb.Record) bool {
	if a.GetDeleted() || b.GetDeleted() {
		return a.GetDeleted() == b.GetDeleted()
	}
	stripped := &pb.Record{Key: a.GetKey(), Value: a.GetValue()}
	return proto.Equal(stripped, &pb.Record{Key: b.GetKey(), Value: b.GetValue()})
}
