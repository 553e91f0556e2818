// Package crtoml decodes and encodes the messages of the schema as TOML. Keys are
// the JSON names of the schema, which are in kebab case. Enum values are the names
// of the values in kebab case without their common prefix. Durations have the
// format of time.Duration, such as "1m30s". Unknown keys are errors.
package crtoml

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/BurntSushi/toml"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
)

// Problem is an error at one key of a file, or in the file as a whole.
type Problem struct {
	// Path is the key's path, such as caller.address or services[2].kind. It
	// is empty if the problem concerns the file as a whole.
	Path string
	// Text describes the problem.
	Text string
}

// String returns the path and the text, separated by a colon, or only the text if
// the path is empty.
func (p Problem) String() string {
	if p.Path == "" {
		return p.Text
	}
	return p.Path + ": " + p.Text
}

// Problems is the list of all problems of a file. It implements error. Err sorts it
// by path.
type Problems []Problem

// Error returns the problems, one on each line.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// Err sorts the problems by path and returns them as an error, or returns nil if
// there are none.
func (ps Problems) Err() error {
	if len(ps) == 0 {
		return nil
	}
	slices.SortStableFunc(ps, func(a, b Problem) int { return strings.Compare(a.Path, b.Path) })
	return ps
}

// Addf appends a problem with a formatted text.
func (ps *Problems) Addf(path, format string, args ...any) {
	*ps = append(*ps, Problem{Path: path, Text: fmt.Sprintf(format, args...)})
}

// Table is a decoded TOML table. Its values have the types that the package
// github.com/BurntSushi/toml decodes to.
type Table map[string]any

// ParseTable decodes a TOML file. Errors are of type Problems.
func ParseTable(data []byte) (Table, error) {
	table := Table{}
	err := toml.Unmarshal(data, (*map[string]any)(&table))
	var syntax toml.ParseError
	if errors.As(err, &syntax) {
		return nil, Problems{{Text: fmt.Sprintf("line %d: %s", syntax.Position.Line, syntax.Message)}}
	}
	if err != nil {
		return nil, Problems{{Text: err.Error()}}
	}
	return table, nil
}

// WithDefaults returns a copy of the table to which the keys that it lacks are added
// from defaults, including those in nested tables. A key that is present in t takes
// precedence even if its value is zero. Neither table is modified.
func (t Table) WithDefaults(defaults Table) Table {
	merged := Table{}
	for k, v := range defaults {
		merged[k] = v
	}
	for k, v := range t {
		nested, isTable := v.(map[string]any)
		nestedDefaults, hasDefaults := defaults[k].(map[string]any)
		if isTable && hasDefaults {
			v = map[string]any(Table(nested).WithDefaults(nestedDefaults))
		}
		merged[k] = v
	}
	return merged
}

// Decode sets the fields of the message from the table. Errors are of type Problems
// and name every unknown key and every value of the wrong type. On such an error
// the message still holds the other values, so that the caller can check them too.
func (t Table) Decode(m proto.Message) error {
	d := decoder{}
	object := d.message("", m.ProtoReflect().Descriptor(), t)
	data, err := json.Marshal(object)
	if err != nil {
		d.problems.Addf("", "%v", err)
		return d.problems.Err()
	}
	if err := protojson.Unmarshal(data, m); err != nil {
		d.problems.Addf("", "%v", err)
	}
	return d.problems.Err()
}
