package crfile

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/testing/protocmp"
	"google.golang.org/protobuf/types/known/durationpb"

	"crocusrack/core/crtoml"
	pb "crocusrack/schema/crcatalogue"
)

// small is the file of the catalogue that message returns.
const small = `[[failure-domains]]
name = "noord-a"
region = "nl-noord"
out = true

[[services]]
name = "taalpers"
owner = "planting cards \"A\""
kind = "model"
load-multiple = 1.25
[services.limits]
max-tokens = 512
max-duration = "1m30s"

[[services.placements]]
role = "decode"
count = 3

[[endpoints]]
name = "taalpers-1"
address = "127.0.0.1:21001"
capacity = 8

[[client-accounts]]
name = "order-desk"
rate = 20.0
services = ["taalpers", "persbalie"]
`

func message() *pb.Catalogue {
	return &pb.Catalogue{
		FailureDomains: []*pb.FailureDomain{{Name: "noord-a", Region: "nl-noord", Out: true}},
		Services: []*pb.Service{{
			Name: "taalpers", Owner: `planting cards "A"`, Kind: pb.ServiceKind_SERVICE_KIND_MODEL, LoadMultiple: 1.25,
			Limits:     &pb.Limits{MaxTokens: 512, MaxDuration: durationpb.New(90 * time.Second)},
			Placements: []*pb.Placement{{Role: "decode", Count: 3}},
		}},
		Endpoints:      []*pb.Endpoint{{Name: "taalpers-1", Address: "127.0.0.1:21001", Capacity: 8}},
		ClientAccounts: []*pb.ClientAccount{{Name: "order-desk", Rate: 20, Services: []string{"taalpers", "persbalie"}}},
	}
}

func TestParseAndFormat(t *testing.T) {
	parsed, err := Parse([]byte(small))
	if diff := cmp.Diff(message(), parsed, protocmp.Transform()); err != nil || diff != "" {
		t.Errorf("%v, catalogue differs (-want +got):\n%s", err, diff)
	}
	formatted, err := Format(message())
	if diff := cmp.Diff(small, string(formatted)); err != nil || diff != "" {
		t.Errorf("%v, file differs (-want +got):\n%s", err, diff)
	}
}

func TestParseNamesEveryProblem(t *testing.T) {
	tests := []struct {
		file string
		want []string
	}{
		{"services = 3", []string{"services: not a list: 3"}},
		{"[services]\nname = \"x\"", []string{"services: not a list: map[name:x]"}},
		{"[[services]]\nkind = \"modle\"\nlimits = 1\ndurable-claims = 1", []string{
			"services[0].durable-claims: not true or false: 1",
			`services[0].kind: not one of model, plain: "modle"`,
			"services[0].limits: not a table: 1"}},
		{"[[endpoints]]\ncapacity = -1\ncold_capacity = 1\n[[endpoints]]\ncapacity = 4294967296", []string{
			"endpoints[0].capacity: not an integer from 0 to 4294967295: -1",
			"endpoints[0].cold_capacity: unknown key",
			"endpoints[1].capacity: not an integer from 0 to 4294967295: 4294967296"}},
		{"[[client-accounts]]\nrate = nan\nservices = [1]", []string{
			"client-accounts[0].rate: not a finite number: NaN",
			"client-accounts[0].services[0]: not a text: 1"}},
		{"[[services]]\nlimits = { max-duration = \"1 day\" }", []string{
			`services[0].limits.max-duration: not a duration such as "1m30s": "1 day"`}},
		{"a = 1\na = 2", []string{"line 2: Key 'a' has already been defined."}},
	}
	for _, tt := range tests {
		_, err := Parse([]byte(tt.file))
		problems, ok := err.(crtoml.Problems)
		if !ok {
			t.Errorf("%q: error is %T (%v), want crtoml.Problems", tt.file, err, err)
			continue
		}
		if diff := cmp.Diff(tt.want, strings.Split(problems.Error(), "\n")); diff != "" {
			t.Errorf("%q: problems differ (-want +got):\n%s", tt.file, diff)
		}
	}
}

// FuzzParse checks that a catalogue that Parse accepts is unchanged after Format and
// Parse.
func FuzzParse(f *testing.F) {
	f.Add([]byte(small))
	f.Add([]byte("services = [[], {}]\n[[endpoints]]\nrole = \"\\u0000\\n\""))
	f.Fuzz(func(t *testing.T, data []byte) {
		c, err := Parse(data)
		if err != nil {
			return
		}
		file, err := Format(c)
		if err != nil {
			t.Fatal(err)
		}
		again, err := Parse(file)
		if err != nil {
			t.Fatalf("Parse rejects the formatted file: %v\n%s", err, file)
		}
		if diff := cmp.Diff(c, again, protocmp.Transform()); diff != "" {
			t.Fatalf("catalogue differs after Format and Parse:\n%s\n%s", diff, file)
		}
	})
}

func ExampleParse() {
	_, err := Parse([]byte("[[services]]\nname = \"taalpers\"\nkind = \"modle\""))
	fmt.Println(err)
	// Output: services[0].kind: not one of model, plain: "modle"
}

func TestExamplesHoldTheDeployments(t *testing.T) {
	type size struct{ Domains, Services, Endpoints, Accounts int }
	for name, want := range map[string]size{"kiemblad": {3, 2, 13, 10}, "cedar": {3, 2, 15, 10}} {
		data, err := os.ReadFile("../../examples/" + name + "/catalogue.toml")
		if err != nil {
			t.Fatal(err)
		}
		c, err := Parse(data)
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		got := size{len(c.FailureDomains), len(c.Services), len(c.Endpoints), len(c.ClientAccounts)}
		if got != want {
			t.Errorf("%s: sizes %+v, want %+v", name, got, want)
		}
	}
}

func TestDiff(t *testing.T) {
	after := message()
	after.Services[0].LoadMultiple = 1.5
	after.Endpoints = nil
	after.Instances = []*pb.InstanceState{{Name: "noord-a-1", Out: true}}
	got, err := Diff(message(), after)
	if err != nil {
		t.Fatal(err)
	}
	want := []Difference{
		{Key: "endpoint/taalpers-1", Old: []string{`name = "taalpers-1"`, `address = "127.0.0.1:21001"`, "capacity = 8"}},
		{Key: "instance/noord-a-1", New: []string{`name = "noord-a-1"`, "out = true"}},
		{Key: "service/taalpers", Old: []string{"load-multiple = 1.25"}, New: []string{"load-multiple = 1.5"}},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("differences differ (-want +got):\n%s", diff)
	}
}
