// Package crverdict runs the tests of this module and compares the outcome of each test with
// the list of known faults. Developers and CI get the same verdict from it: a failure that
// isn't listed is one, and so is a listed test that passes, since its entry is out of date.
package crverdict

import (
	"bufio"
	"fmt"
	"io"
	"strings"
)

// Fault is a known fault: an entry of the list.
type Fault struct {
	// Tests are the tests that fail because of it. Entries that describe other evidence than a
	// test have none.
	Tests []string
	// Varies reports that the tests don't fail in each run.
	Varies bool
	// Issue names the open issues that the fault belongs to.
	Issue string
	// Text is the entry as it is written.
	Text string
}

// The keys that the list's lines begin with.
const (
	keyTest    = "test:"
	keyOutcome = "outcome:"
	keyIssue   = "issue:"

	outcomeVaries = "varies"
)

// ParseFaults reads a list of known faults: entries separated by empty lines, of lines that
// begin with a key. It returns an error that names the line for a test that is listed twice or
// without an issue, and for an unknown outcome. Paragraphs without a key are comments.
func ParseFaults(r io.Reader) ([]Fault, error) {
	var faults []Fault
	listed := make(map[string]bool)
	var f Fault
	end := func(line int) error {
		if len(f.Tests) > 0 && f.Issue == "" {
			return fmt.Errorf("line %d: the entry of %s names no issue", line, f.Tests[0])
		}
		if f.Issue != "" {
			faults = append(faults, f)
		}
		f = Fault{}
		return nil
	}
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, 1<<20)
	line := 0
	for scanner.Scan() {
		line++
		text := strings.TrimSpace(scanner.Text())
		if text == "" {
			if err := end(line); err != nil {
				return nil, err
			}
			continue
		}
		f.Text += text + "\n"
		switch key, value, _ := strings.Cut(text, " "); key {
		case keyTest:
			name := strings.TrimSpace(value)
			if name == "" || listed[name] {
				return nil, fmt.Errorf("line %d: %q names no test, or one that is listed already", line, text)
			}
			listed[name] = true
			f.Tests = append(f.Tests, name)
		case keyOutcome:
			if f.Varies = strings.TrimSpace(value) == outcomeVaries; !f.Varies {
				return nil, fmt.Errorf("line %d: %q is no known outcome; it is %q or left out", line, value, outcomeVaries)
			}
		case keyIssue:
			f.Issue = strings.TrimSpace(value)
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, err
	}
	return faults, end(line)
}
