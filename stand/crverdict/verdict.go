package crverdict

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

// event is an event of go test -json.
type event struct {
	Action     string
	Package    string
	ImportPath string
	Test       string
	Elapsed    float64
	Output     string
}

// testName identifies a test that isn't a subtest.
type testName struct{ pkg, test string }

// Verdict collects the outcomes of tests. Set Faults before the first call.
type Verdict struct {
	// Faults are the known faults.
	Faults []Fault
	// Out gets a line for each package, and the output of unexpected failures.
	Out io.Writer

	passed, failed int
	// known are the faults by the name of their tests, and met the outcomes of listed tests.
	known map[string]*Fault
	met   map[string]string
	// running are the tests that have started and not ended, with their output so far.
	running map[testName][]string
	// packages holds the output of each package beside that of its tests.
	packages map[string]*packageState
	// complaints are the reasons for a verdict other than success.
	complaints []string
}

// packageState is what is known of a package whose tests run.
type packageState struct {
	output []string
	// tests counts its tests that ended, and knownFailed and failed those that failed.
	tests, knownFailed, failed int
}

func (v *Verdict) init() {
	if v.known != nil {
		return
	}
	v.known, v.met = make(map[string]*Fault), make(map[string]string)
	v.running, v.packages = make(map[testName][]string), make(map[string]*packageState)
	for i := range v.Faults {
		for _, name := range v.Faults[i].Tests {
			v.known[name] = &v.Faults[i]
		}
	}
}

// Read reads the events that go test -json writes, until their end. Lines that are no event
// are passed to Out.
func (v *Verdict) Read(r io.Reader) error {
	v.init()
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, 16<<20)
	for scanner.Scan() {
		var e event
		if json.Unmarshal(scanner.Bytes(), &e) != nil || e.Action == "" {
			fmt.Fprintln(v.Out, scanner.Text())
			continue
		}
		v.add(e)
	}
	return scanner.Err()
}

func (v *Verdict) add(e event) {
	if strings.HasPrefix(e.Action, "build-") {
		if e.Output != "" {
			fmt.Fprint(v.Out, e.Output)
		}
		return
	}
	p := v.packages[e.Package]
	if p == nil {
		p = &packageState{}
		v.packages[e.Package] = p
	}
	top, _, sub := strings.Cut(e.Test, "/")
	name := testName{e.Package, top}
	switch {
	case e.Action == "output" && e.Test == "":
		p.output = append(p.output, e.Output)
	case e.Action == "output":
		v.running[name] = append(v.running[name], e.Output)
	case e.Test == "":
		v.endPackage(e, p)
	case sub:
	case e.Action == "run":
		v.running[name] = nil
	case e.Action == "pass", e.Action == "fail", e.Action == "skip":
		p.tests++
		v.endTest(name, e.Action, p)
	}
}

// endTest records the outcome of a test.
func (v *Verdict) endTest(name testName, action string, p *packageState) {
	output := v.running[name]
	delete(v.running, name)
	fault := v.known[name.test]
	if fault != nil {
		v.met[name.test] = action
	}
	switch {
	case action == "skip":
	case action == "pass":
		v.passed++
	case fault != nil:
		p.knownFailed++
	default:
		v.failed++
		p.failed++
		v.complaints = append(v.complaints, fmt.Sprintf("%s of %s failed", name.test, name.pkg))
		for _, line := range output {
			fmt.Fprint(v.Out, line)
		}
	}
}

// endPackage records the outcome of a package. One that failed without a failed test was not
// built, or ended while tests were running.
func (v *Verdict) endPackage(e event, p *packageState) {
	var cut []string
	for name, output := range v.running {
		if name.pkg == e.Package {
			cut = append(cut, name.test)
			delete(v.running, name)
			for _, line := range output {
				fmt.Fprint(v.Out, line)
			}
		}
	}
	slices.Sort(cut)
	took := time.Duration(e.Elapsed * float64(time.Second)).Round(time.Millisecond)
	switch e.Action {
	case "pass":
		fmt.Fprintf(v.Out, "ok  \t%s\t%s\n", e.Package, took)
	case "fail":
		switch {
		case len(cut) > 0:
			v.failed++
			v.complaints = append(v.complaints, fmt.Sprintf("%s ended while %s was running", e.Package, strings.Join(cut, ", ")))
		case p.failed == 0 && p.knownFailed == 0:
			v.failed++
			v.complaints = append(v.complaints, e.Package+" was not built, or ended by itself")
		}
		if p.failed == 0 && p.knownFailed > 0 && len(cut) == 0 {
			fmt.Fprintf(v.Out, "ok  \t%s\t%s\tbut for %d known faults\n", e.Package, took, p.knownFailed)
			return
		}
		for _, line := range p.output {
			fmt.Fprint(v.Out, line)
		}
	}
}

// End returns the reasons for a verdict other than success, none if there are none. It prints
// what the listed tests did, and the numbers of tests.
func (v *Verdict) End() []string {
	v.init()
	for _, f := range v.Faults {
		for _, name := range f.Tests {
			switch action := v.met[name]; {
			case action == "":
				v.complaints = append(v.complaints, fmt.Sprintf("%s is listed as a known fault and was not run", name))
			case action == "pass" && !f.Varies:
				v.complaints = append(v.complaints, fmt.Sprintf("%s passes: its entry among the known faults must go", name))
			case action == "skip":
				v.complaints = append(v.complaints, fmt.Sprintf("%s is listed as a known fault and was skipped", name))
			default:
				fmt.Fprintf(v.Out, "known fault: %s (%s), issue %s\n", name, map[string]string{"fail": "failed", "pass": "passed in this run"}[action], f.Issue)
			}
		}
	}
	slices.Sort(v.complaints)
	for _, c := range v.complaints {
		fmt.Fprintln(v.Out, "FAIL", c)
	}
	fmt.Fprintf(v.Out, "tests: %d passed, %d failed\n", v.passed, v.failed)
	return v.complaints
}
