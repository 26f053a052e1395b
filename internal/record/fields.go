package record

import (
	"encoding/json"
	"maps"
	"reflect"
	"slices"
	"strings"
)

// Fields are fields of a record by their stored names. In the records of this package
// they are those that a later version has added and this one does not know.
type Fields map[string]json.RawMessage

// Fields that this version knows, by the kind of record.
var (
	jobFields   = fieldNames(reflect.TypeFor[storedJob]())
	runFields   = fieldNames(reflect.TypeFor[storedRun]())
	retryFields = fieldNames(reflect.TypeFor[storedRetry]())
)

// fieldNames lists the names under which the fields of a stored type are encoded.
func fieldNames(stored reflect.Type) map[string]bool {
	names := map[string]bool{}
	for i := range stored.NumField() {
		name, _, _ := strings.Cut(stored.Field(i).Tag.Get("json"), ",")
		names[name] = true
	}
	return names
}

// unknownFields returns the fields of a well-formed record that are not known, nil if
// there are none.
func unknownFields(data []byte, known map[string]bool) Fields {
	var all Fields
	if json.Unmarshal(data, &all) != nil {
		return nil // a value that is not an object, such as null, has no fields
	}
	return all.without(known)
}

// read decodes a field into value, which stays as it is if the record has no such field.
func (f Fields) read(kind Kind, name string, value any) error {
	data, ok := f[name]
	if !ok {
		return nil
	}
	return unmarshal(kind, name, data, value)
}

// without returns the fields that are not known, nil if there are none.
func (f Fields) without(known map[string]bool) (unknown Fields) {
	for name, value := range f {
		if known[name] {
			continue
		}
		if unknown == nil {
			unknown = Fields{}
		}
		unknown[name] = value
	}
	return unknown
}

// appendTo adds the fields to an encoded record that has some of its own.
func (f Fields) appendTo(encoded []byte) []byte {
	if len(f) == 0 {
		return encoded
	}
	encoded = encoded[:len(encoded)-1] // the closing brace
	for _, name := range slices.Sorted(maps.Keys(f)) {
		encoded = append(encoded, ',')
		encoded = append(encoded, marshal(name)...)
		encoded = append(encoded, ':')
		encoded = append(encoded, f[name]...)
	}
	return append(encoded, '}')
}
