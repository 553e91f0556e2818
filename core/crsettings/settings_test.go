package crsettings

import (
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/reflect/protoreflect"

	"crocusrack/core/crtoml"
	pb "crocusrack/schema/crsettings"
)

// validFile is a settings file without problems.
const validFile = `
instance = "noord-a-1"
failure-domain = "noord-a"
seeds = ["127.0.0.1:20202"]
[caller]
address = "127.0.0.1:20101"
plain-text = true
[peer]
address = "0.0.0.0:20201"
advertise = "10.0.0.1:20201"
tls = { certificate = "c.pem", key = "k.pem", client-authorities = "a.pem" }
[operator]
address = "127.0.0.1:20301"
plain-text = true
[platform]
url = "http://127.0.0.1:20000"
reads-per-second = 50
`

func TestParseValidFile(t *testing.T) {
	got, err := Parse([]byte(validFile))
	if err != nil {
		t.Fatal(err)
	}
	caller, operator := netip.MustParseAddrPort("127.0.0.1:20101"), netip.MustParseAddrPort("127.0.0.1:20301")
	want := Settings{
		Instance: "noord-a-1", FailureDomain: "noord-a", LogLevel: "info",
		Caller: Listener{Address: caller, Advertise: caller, PlainText: true},
		Peer: Listener{
			Address: netip.MustParseAddrPort("0.0.0.0:20201"), Advertise: netip.MustParseAddrPort("10.0.0.1:20201"),
			TLS: TLS{Certificate: "c.pem", Key: "k.pem", ClientAuthorities: "a.pem"},
		},
		Operator:        Listener{Address: operator, Advertise: operator, PlainText: true},
		Platform:        Platform{URL: "http://127.0.0.1:20000", Timeout: 2 * time.Second, ReadsPerSecond: 50, WritesPerSecond: 1},
		Seeds:           []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:20202")},
		AddressLifetime: time.Minute, DrainTimeout: 5 * time.Minute, OutcomeLifetime: 10 * time.Minute,
		MaxRequestBytes: 4 << 20, ControlBytesPerSecond: 5000, Policy: "sharded",
	}
	if diff := cmp.Diff(want, got, cmp.Comparer(func(a, b netip.AddrPort) bool { return a == b })); diff != "" {
		t.Errorf("settings differ (-want +got):\n%s", diff)
	}
}

func TestParseNamesEveryProblem(t *testing.T) {
	tests := []struct {
		name     string
		old, new string
		want     []string
	}{
		{"address", `"127.0.0.1:20101"`, `"x"`, []string{`caller.address: not an IP address and port: "x"`}},
		{"unknown keys", `instance =`, "typo = 1\ncaller.port = 3\ninstance =", []string{"caller.port: unknown key", "typo: unknown key"}},
		{"unknown key and type", `instance = "noord-a-1"`, "typo = 1\ninstance = 7", []string{"instance: not a text: 7", "typo: unknown key"}},
		{"type and range", "instance = \"noord-a-1\"\nfailure-domain = \"noord-a\"\nseeds = [\"127.0.0.1:20202\"]", "instance = 7\nfailure-domain = \"noord-a\"\nseeds = [1]\nmax-request-bytes = 1\ndrain-timeout = 5", []string{
			`drain-timeout: not a duration such as "1m30s": 5`, "instance: not a text: 7", "max-request-bytes: out of range 1024 to 67108864: 1", "seeds[0]: not a text: 1"}},
		{"syntax", `instance =`, "instance", []string{"line 2: expected '.' or '=', but got '\"' instead"}},
		{"schema name", `plain-text = true`, `plain_text = true`, []string{
			"caller.plain_text: unknown key",
			"caller.tls.certificate: missing: set it, or caller.plain-text = true",
			"caller.tls.key: missing: set it, or caller.plain-text = true"}},
		{"missing domain and address", "failure-domain = \"noord-a\"\n", "", []string{"failure-domain: missing"}},
		{"zero is not the default", `reads-per-second = 50`, `reads-per-second = 0`, []string{"platform.reads-per-second: out of range 1 to 2000: 0"}},
		{"TLS files", "plain-text = true\n[platform]", "[platform]", []string{
			"operator.tls.certificate: missing: set it, or operator.plain-text = true",
			"operator.tls.key: missing: set it, or operator.plain-text = true"}},
		{"two problems", `url = "http://127.0.0.1:20000"`, "url = \"x\"\ntimeout = \"2h\"", []string{
			`platform.timeout: out of range 10ms to 1m: 2h0m0s`,
			`platform.url: not an http or https URL: "x"`}},
		{"peer authorities", `, client-authorities = "a.pem"`, "", []string{
			"peer.tls.client-authorities: missing: instances check each other's certificates unless peer.plain-text is true"}},
		{"advertise", `advertise = "10.0.0.1:20201"`, "", []string{"peer.advertise: others can't use 0.0.0.0:20201: set an address of this instance"}},
		{"same address", `127.0.0.1:20301`, `127.0.0.1:20101`, []string{`operator.address: the same as caller.address: "127.0.0.1:20101"`}},
		{"lifetime", `instance =`, "address-lifetime = \"10m\"\ninstance =", []string{"drain-timeout: shorter than address-lifetime, which is 10m0s: 5m0s"}},
		{"seeds", `["127.0.0.1:20202"]`, `["127.0.0.1:2", "127.0.0.1:2", "y"]`, []string{`seeds[1]: listed twice: "127.0.0.1:2"`, `seeds[2]: not an IP address and port: "y"`}},
		{"name and level", `instance = "noord-a-1"`, "instance = \"A\"\nlog-level = \"loud\"", []string{
			`instance: not a name of at most 63 lower-case letters, digits and hyphens: "A"`,
			`log-level: not one of debug, info, warn, error: "loud"`}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := Parse([]byte(strings.Replace(validFile, tt.old, tt.new, 1)))
			problems, ok := err.(crtoml.Problems)
			if !ok {
				t.Fatalf("error is %T (%v), want crtoml.Problems", err, err)
			}
			if diff := cmp.Diff(tt.want, strings.Split(problems.Error(), "\n")); diff != "" {
				t.Errorf("problems differ (-want +got):\n%s", diff)
			}
		})
	}
}

func TestKeysAgreeWithSchema(t *testing.T) {
	var got []string
	for _, k := range Keys() {
		got = append(got, k.Path)
		ranged := k.Type == TypeInteger || k.Type == TypeDuration
		if ranged != (k.Min != "" && k.Max != "") || (ranged && k.Default == "") {
			t.Errorf("%s: integers and durations must have a range and a default, other types no range", k.Path)
		}
	}
	if want := schemaPaths("", (&pb.Settings{}).ProtoReflect().Descriptor()); !slices.Equal(got, want) {
		t.Errorf("table differs from schema (-schema +table):\n%s", cmp.Diff(want, got))
	}
}

// schemaPaths returns the sorted paths of all fields of a message and its nested
// messages.
func schemaPaths(prefix string, desc protoreflect.MessageDescriptor) []string {
	var paths []string
	for i := range desc.Fields().Len() {
		f := desc.Fields().Get(i)
		if f.Kind() == protoreflect.MessageKind && f.Message().FullName() != "google.protobuf.Duration" {
			paths = append(paths, schemaPaths(prefix+f.JSONName()+".", f.Message())...)
			continue
		}
		paths = append(paths, prefix+f.JSONName())
	}
	slices.Sort(paths)
	return paths
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(validFile))
	f.Add([]byte("seeds = [[]]\ncaller = []\nplatform.timeout = 1979-05-27\ndrain-timeout = \"-1ns\""))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := Parse(data)
		if err != nil {
			if problems, ok := err.(crtoml.Problems); !ok || len(problems) == 0 {
				t.Fatalf("error is %T with no problems", err)
			}
			return
		}
		if s.Instance == "" || s.FailureDomain == "" || !s.Peer.Advertise.IsValid() || s.DrainTimeout < s.AddressLifetime {
			t.Fatalf("accepted settings break an invariant: %+v", s)
		}
	})
}

func ExampleParse() {
	_, err := Parse([]byte(strings.Replace(validFile, `"127.0.0.1:20101"`, `"x"`, 1)))
	fmt.Println(err)
	// Output: caller.address: not an IP address and port: "x"
}

func TestExamples(t *testing.T) {
	files, err := filepath.Glob("../../examples/*/*-[0-9].toml")
	if err != nil || len(files) != 19 {
		t.Fatalf("found %d settings files (%v), want 19", len(files), err)
	}
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		s, err := Parse(data)
		if err != nil {
			t.Errorf("%s: %v", file, err)
		}
		if name := strings.TrimSuffix(filepath.Base(file), ".toml"); s.Instance != name {
			t.Errorf("%s names the instance %q", file, s.Instance)
		}
	}
}

// TestEmptyAuthoritiesAreNoSetting guards against a listener that asks for no certificates since
// the name of its file of authorities came out empty.
func TestEmptyAuthoritiesAreNoSetting(t *testing.T) {
	for _, name := range []string{"caller", "peer", "operator"} {
		const tls = `tls = { certificate = "c.pem", key = "k.pem", client-authorities = "" }`
		address := map[string]string{"caller": "127.0.0.1:20101", "peer": "127.0.0.1:20201", "operator": "127.0.0.1:20301"}
		file := "instance = \"noord-a-1\"\nfailure-domain = \"noord-a\"\nplatform.url = \"http://127.0.0.1:20000\"\n"
		for _, l := range []string{"caller", "peer", "operator"} {
			file += fmt.Sprintf("[%s]\naddress = %q\n", l, address[l])
			if l == name {
				file += tls + "\n"
			} else {
				file += "plain-text = true\n"
			}
		}
		_, err := Parse([]byte(file))
		want := crtoml.Problems{{Path: name + ".tls.client-authorities", Text: "the name of the file is empty; leave the key out if no certificates are to be checked"}}
		if diff := cmp.Diff(error(want), err); diff != "" {
			t.Errorf("%s (-want +got):\n%s", name, diff)
		}
	}
}
