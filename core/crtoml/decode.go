package crtoml

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/types/known/durationpb"
)

// durationName is the message type that is written as a Go duration.
const durationName = protoreflect.FullName("google.protobuf.Duration")

// decoder converts TOML values to the values of the JSON encoding of a message, and
// collects the problems that it finds.
type decoder struct {
	problems Problems
}

// join appends a key to a path.
func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

// message returns the JSON object of a table. Keys with problems are left out.
func (d *decoder) message(path string, desc protoreflect.MessageDescriptor, table map[string]any) map[string]any {
	object := map[string]any{}
	for _, key := range slices.Sorted(maps.Keys(table)) {
		keyPath := join(path, key)
		field := fieldByKey(desc, key)
		if field == nil {
			d.problems.Addf(keyPath, "unknown key")
			continue
		}
		if value := d.field(keyPath, field, table[key]); value != nil {
			object[key] = value
		}
	}
	return object
}

// fieldByKey returns the field with the given JSON name, or nil. It exists because
// protojson also accepts the field names of the schema, which are not in kebab case.
func fieldByKey(desc protoreflect.MessageDescriptor, key string) protoreflect.FieldDescriptor {
	return desc.Fields().ByJSONName(key)
}

// field returns the JSON value of a field, or nil if the value has the wrong type.
// Items of a list that have the wrong type are left out.
func (d *decoder) field(path string, field protoreflect.FieldDescriptor, value any) any {
	if !field.IsList() {
		return d.value(path, field, value)
	}
	items, ok := listOf(value)
	if !ok {
		d.problems.Addf(path, "not a list: %s", formatValue(value))
		return nil
	}
	list := make([]any, 0, len(items))
	for i, item := range items {
		if value := d.value(fmt.Sprintf("%s[%d]", path, i), field, item); value != nil {
			list = append(list, value)
		}
	}
	return list
}

// listOf returns the items of a TOML array or array of tables.
func listOf(value any) ([]any, bool) {
	switch v := value.(type) {
	case []any:
		return v, true
	case []map[string]any:
		items := make([]any, len(v))
		for i := range v {
			items[i] = v[i]
		}
		return items, true
	}
	return nil, false
}

// value returns the JSON value of a field that is not a list or of an item of a list.
// It returns nil and adds a problem if the value is not of the field's type.
func (d *decoder) value(path string, field protoreflect.FieldDescriptor, value any) any {
	converted, want := d.convert(path, field, value)
	if want != "" {
		d.problems.Addf(path, "not %s: %s", want, formatValue(value))
	}
	return converted
}

// convert returns the JSON value. If the TOML value is not of the field's type, it
// returns nil and a description of the values that are accepted.
func (d *decoder) convert(path string, field protoreflect.FieldDescriptor, value any) (converted any, want string) {
	switch field.Kind() {
	case protoreflect.StringKind:
		return valueOfType[string](value, "a text")
	case protoreflect.BoolKind:
		return valueOfType[bool](value, "true or false")
	case protoreflect.Uint32Kind:
		return integer(value, math.MaxUint32)
	case protoreflect.Uint64Kind:
		return integer(value, math.MaxInt64)
	case protoreflect.DoubleKind:
		return number(value)
	case protoreflect.EnumKind:
		return enum(field.Enum(), value)
	case protoreflect.MessageKind:
		if field.Message().FullName() == durationName {
			return duration(value)
		}
		table, ok := value.(map[string]any)
		if !ok {
			return nil, "a table"
		}
		return d.message(path, field.Message(), table), ""
	}
	return nil, "a value that a file can hold"
}

// valueOfType returns the value if it is of type T, else want.
func valueOfType[T any](value any, want string) (any, string) {
	v, ok := value.(T)
	if !ok {
		return nil, want
	}
	return v, ""
}

// integer accepts integers from 0 to maxValue.
func integer(value any, maxValue int64) (any, string) {
	v, ok := value.(int64)
	if !ok || v < 0 || v > maxValue {
		return nil, fmt.Sprintf("an integer from 0 to %d", maxValue)
	}
	return v, ""
}

// number accepts integers and finite floating-point numbers.
func number(value any) (any, string) {
	switch v := value.(type) {
	case int64:
		return v, ""
	case float64:
		if !math.IsNaN(v) && !math.IsInf(v, 0) {
			return v, ""
		}
	}
	return nil, "a finite number"
}

// duration accepts a Go duration and returns it in the JSON encoding of
// google.protobuf.Duration.
func duration(value any) (any, string) {
	const want = `a duration such as "1m30s"`
	text, ok := value.(string)
	if !ok {
		return nil, want
	}
	v, err := time.ParseDuration(text)
	if err != nil {
		return nil, want
	}
	encoded, err := protojson.Marshal(durationpb.New(v))
	if err != nil {
		return nil, want
	}
	return strings.Trim(string(encoded), `"`), ""
}

// enum accepts the kebab case name of an enum value and returns the name in the
// schema. The value with number 0 is not accepted.
func enum(desc protoreflect.EnumDescriptor, value any) (any, string) {
	var names []string
	for i := range desc.Values().Len() {
		v := desc.Values().Get(i)
		// Number 0 means that the key is absent from the file.
		if v.Number() == 0 {
			continue
		}
		if value == enumName(v) {
			return string(v.Name()), ""
		}
		names = append(names, enumName(v))
	}
	return nil, "one of " + strings.Join(names, ", ")
}

// enumName returns the kebab case name of an enum value without the prefix that all
// values of the enum share: model for SERVICE_KIND_MODEL of the enum ServiceKind.
func enumName(v protoreflect.EnumValueDescriptor) string {
	zero := string(v.Parent().(protoreflect.EnumDescriptor).Values().ByNumber(0).Name())
	prefix := strings.TrimSuffix(zero, "UNSPECIFIED")
	name := strings.TrimPrefix(string(v.Name()), prefix)
	return strings.ReplaceAll(strings.ToLower(name), "_", "-")
}

// formatValue formats a value for an error message, truncated to 60 characters.
func formatValue(value any) string {
	const maxLength = 60
	text := fmt.Sprintf("%v", value)
	if s, ok := value.(string); ok {
		text = fmt.Sprintf("%q", s)
	}
	if r := []rune(text); len(r) > maxLength {
		return string(r[:maxLength]) + "…"
	}
	return text
}
