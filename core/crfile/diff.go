package crfile

import (
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"crocusrack/core/crtoml"
	pb "crocusrack/schema/crcatalogue"
)

// Difference is a record that differs between two catalogues.
type Difference struct {
	// Key is the record's key in the form kind/name, such as service/chat for the
	// service named chat.
	Key string `json:"key"`
	// Old holds the TOML lines of the old record that are missing in the new one,
	// and New those of the new record that are missing in the old one. They hold
	// all lines if only one catalogue has the record, or if only the order of the
	// lines differs.
	Old []string `json:"old,omitempty"`
	New []string `json:"new,omitempty"`
}

// String returns the key, the old lines prefixed with - and the new lines prefixed
// with +, each on a line of its own.
func (d Difference) String() string {
	var b strings.Builder
	b.WriteString(d.Key + "\n")
	for _, line := range d.Old {
		b.WriteString("  - " + line + "\n")
	}
	for _, line := range d.New {
		b.WriteString("  + " + line + "\n")
	}
	return b.String()
}

// Diff returns the records that differ between two catalogues, sorted by key.
func Diff(before, after *pb.Catalogue) ([]Difference, error) {
	oldRecords, newRecords := records(before), records(after)
	var differences []Difference
	for _, key := range keys(oldRecords, newRecords) {
		if o, n := oldRecords[key], newRecords[key]; o != nil && n != nil && proto.Equal(o, n) {
			continue
		}
		d, err := difference(key, oldRecords[key], newRecords[key])
		if err != nil {
			return nil, err
		}
		differences = append(differences, d)
	}
	return differences, nil
}

// records returns the records of a catalogue by key. The kind in a key is the JSON
// name of the catalogue's field without the plural s.
func records(c *pb.Catalogue) map[string]proto.Message {
	byKey := map[string]proto.Message{}
	c.ProtoReflect().Range(func(field protoreflect.FieldDescriptor, value protoreflect.Value) bool {
		kind := strings.TrimSuffix(field.JSONName(), "s")
		for i := range value.List().Len() {
			m := value.List().Get(i).Message()
			name := m.Get(m.Descriptor().Fields().ByName("name")).String()
			byKey[kind+"/"+name] = m.Interface()
		}
		return true
	})
	return byKey
}

// keys returns the keys of both maps, sorted and without duplicates.
func keys(oldRecords, newRecords map[string]proto.Message) []string {
	var all []string
	for key := range oldRecords {
		all = append(all, key)
	}
	for key := range newRecords {
		all = append(all, key)
	}
	slices.Sort(all)
	return slices.Compact(all)
}

// difference returns the difference of a record. A nil message means that the
// catalogue lacks the record.
func difference(key string, oldRecord, newRecord proto.Message) (Difference, error) {
	oldLines, err := lines(oldRecord)
	if err != nil {
		return Difference{}, err
	}
	newLines, err := lines(newRecord)
	if err != nil {
		return Difference{}, err
	}
	d := Difference{Key: key, Old: without(oldLines, newLines), New: without(newLines, oldLines)}
	if len(d.Old) == 0 && len(d.New) == 0 {
		// Only the order of the lines differs.
		d.Old, d.New = oldLines, newLines
	}
	return d, nil
}

// lines returns the non-empty lines of the message as TOML.
func lines(m proto.Message) ([]string, error) {
	if m == nil {
		return nil, nil
	}
	file, err := crtoml.Encode(m)
	if err != nil {
		return nil, err
	}
	all := strings.Split(string(file), "\n")
	return slices.DeleteFunc(all, func(line string) bool { return line == "" }), nil
}

// without returns the lines of a that are not in b. A line that occurs several times
// in a is left out as often as it occurs in b.
func without(a, b []string) []string {
	unmatched := slices.Clone(b)
	var missing []string
	for _, line := range a {
		i := slices.Index(unmatched, line)
		if i < 0 {
			missing = append(missing, line)
			continue
		}
		unmatched = slices.Delete(unmatched, i, i+1)
	}
	return missing
}
