package record

import (
	"encoding/json"
	"maps"
	"reflect"
	"slices"
	"strings"

	"lugward/internal/jsonwire"
)

// Fields maps the stored names of a record's fields to their encoded values. In the
// records of this package it holds the fields that a later version has added and that are
// unknown to this version.
type Fields map[string]json.RawMessage

// Stored names of the fields that this version knows, by kind of record.
var (
	jobFields   = fieldNames(reflect.TypeFor[storedJob]())
	runFields   = fieldNames(reflect.TypeFor[storedRun]())
	retryFields = fieldNames(reflect.TypeFor[storedRetry]())
)

// fieldNames returns the set of JSON names of the fields of a stored type.
func fieldNames(stored reflect.Type) map[string]bool {
	names := map[string]bool{}
	for i := range stored.NumField() {
		name, _, _ := strings.Cut(stored.Field(i).Tag.Get("json"), ",")
		names[name] = true
	}
	return names
}

// unknownFields returns the fields of a well-formed record whose names are not in known,
// or nil if there are none.
func unknownFields(data []byte, known map[string]bool) Fields {
	var all Fields
	if jsonwire.Unmarshal(data, &all) != nil {
		return nil // a value that is not an object, such as null, has no fields
	}
	return all.without(known)
}

// decode decodes the named field into value. If the field is absent, value is unchanged.
func (f Fields) decode(kind Kind, name string, value any) error {
	data, ok := f[name]
	if !ok {
		return nil
	}
	return unmarshal(kind, name, data, value)
}

// without returns the fields whose names are not in known, or nil if there are none.
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

// appendTo adds the fields to an encoded record, which must have at least one field.
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
