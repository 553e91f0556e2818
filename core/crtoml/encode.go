package crtoml

import (
	"bytes"
	"fmt"
	"reflect"

	"github.com/BurntSushi/toml"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/types/known/durationpb"
)

// Encode encodes the message as TOML, with the keys in the order of the schema. Zero
// values are left out. Equal messages give equal bytes. Encode returns an error if
// the message has a bytes field that is set or an enum number that the schema does
// not define.
func Encode(m proto.Message) ([]byte, error) {
	value, err := structOf(m.ProtoReflect())
	if err != nil {
		return nil, err
	}
	var b bytes.Buffer
	encoder := toml.NewEncoder(&b)
	encoder.Indent = ""
	if err := encoder.Encode(value.Interface()); err != nil {
		return nil, fmt.Errorf("encode TOML: %w", err)
	}
	return b.Bytes(), nil
}

// structOf copies the set fields of the message into a struct. It doesn't use a map
// because the TOML encoder sorts the keys of maps but keeps the order of struct
// fields.
func structOf(m protoreflect.Message) (reflect.Value, error) {
	var fields []reflect.StructField
	var values []reflect.Value
	descriptors := m.Descriptor().Fields()
	for i := range descriptors.Len() {
		field := descriptors.Get(i)
		if !m.Has(field) {
			continue
		}
		value, err := fieldValue(field, m.Get(field))
		if err != nil {
			return reflect.Value{}, err
		}
		fields = append(fields, reflect.StructField{
			Name: fmt.Sprintf("Field%d", field.Number()),
			Type: value.Type(),
			Tag:  reflect.StructTag(fmt.Sprintf("toml:%q", field.JSONName())),
		})
		values = append(values, value)
	}
	result := reflect.New(reflect.StructOf(fields)).Elem()
	for i, value := range values {
		result.Field(i).Set(value)
	}
	return result, nil
}

// fieldValue returns the Go value of a field for the TOML encoder.
func fieldValue(field protoreflect.FieldDescriptor, value protoreflect.Value) (reflect.Value, error) {
	if !field.IsList() {
		return itemValue(field, value)
	}
	if field.Kind() == protoreflect.MessageKind {
		return tables(field, value.List())
	}
	items := reflect.ValueOf([]string{})
	for i := range value.List().Len() {
		item, err := itemValue(field, value.List().Get(i))
		if err != nil {
			return reflect.Value{}, err
		}
		items = reflect.Append(items, item)
	}
	return items, nil
}

// tables returns the items of a list of messages as a []any. The types of the items
// differ, because structOf includes only the fields that are set.
func tables(field protoreflect.FieldDescriptor, list protoreflect.List) (reflect.Value, error) {
	items := make([]any, list.Len())
	for i := range items {
		item, err := itemValue(field, list.Get(i))
		if err != nil {
			return reflect.Value{}, err
		}
		items[i] = item.Interface()
	}
	return reflect.ValueOf(items), nil
}

// itemValue returns the Go value of a field that is not a list or of an item of a list.
func itemValue(field protoreflect.FieldDescriptor, value protoreflect.Value) (reflect.Value, error) {
	switch field.Kind() {
	case protoreflect.EnumKind:
		return enumValue(field, value.Enum())
	case protoreflect.MessageKind:
		if d, ok := value.Message().Interface().(*durationpb.Duration); ok {
			return reflect.ValueOf(d.AsDuration().String()), nil
		}
		return structOf(value.Message())
	case protoreflect.BytesKind:
		return reflect.Value{}, fmt.Errorf("encode TOML: field %s has the type bytes, which is not supported", field.FullName())
	}
	return reflect.ValueOf(value.Interface()), nil
}

// enumValue returns the kebab case name of an enum number.
func enumValue(field protoreflect.FieldDescriptor, number protoreflect.EnumNumber) (reflect.Value, error) {
	v := field.Enum().Values().ByNumber(number)
	if v == nil {
		return reflect.Value{}, fmt.Errorf("encode TOML: field %s: the enum has no value %d", field.FullName(), number)
	}
	return reflect.ValueOf(enumName(v)), nil
}
