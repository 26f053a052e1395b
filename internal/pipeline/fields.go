package pipeline

import (
	"encoding/json"
	"maps"
	"reflect"
	"slices"
	"strings"
)

// recordFields are fields of a stored record by their names. A later version may add
// some: whoever writes a record again keeps those that it does not know, since both
// versions serve while controllers are replaced.
type recordFields map[string]json.RawMessage

// Fields that this version knows, by the kind of record.
var (
	jobFields   = fieldNames(reflect.TypeFor[jobRecord]())
	runFields   = fieldNames(reflect.TypeFor[runRecord]())
	retryFields = fieldNames(reflect.TypeFor[retryRecord]())
)

// fieldNames lists the names that a record type gives its fields.
func fieldNames(record reflect.Type) map[string]bool {
	names := map[string]bool{}
	for i := range record.NumField() {
		name, _, _ := strings.Cut(record.Field(i).Tag.Get("json"), ",")
		names[name] = true
	}
	return names
}

// unknownFields returns the fields of a stored record that are not known, nil if
// there are none.
func unknownFields(data []byte, known map[string]bool) recordFields {
	var all recordFields
	if json.Unmarshal(data, &all) != nil {
		return nil
	}
	return all.without(known)
}

// read decodes a field, which stays as it is if the record has none. It tells whether
// the field is well formed.
func (f recordFields) read(name string, value any) bool {
	data, ok := f[name]
	return !ok || json.Unmarshal(data, value) == nil
}

// without returns the fields that are not known, nil if there are none.
func (f recordFields) without(known map[string]bool) (unknown recordFields) {
	for name, value := range f {
		if known[name] {
			continue
		}
		if unknown == nil {
			unknown = recordFields{}
		}
		unknown[name] = value
	}
	return unknown
}

// appendTo adds the fields to an encoded record, which has some of its own.
func (f recordFields) appendTo(record []byte) []byte {
	if len(f) == 0 {
		return record
	}
	record = record[:len(record)-1] // the closing brace
	for _, name := range slices.Sorted(maps.Keys(f)) {
		quoted, err := json.Marshal(name)
		if err != nil {
			panic(err) // a text
		}
		record = append(record, ',')
		record = append(record, quoted...)
		record = append(record, ':')
		record = append(record, f[name]...)
	}
	return append(record, '}')
}
