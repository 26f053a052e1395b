// Package jsonwiretest adds fields that no receiver knows to JSON documents, for tests of
// decoders and for the simulation.
package jsonwiretest

import (
	"encoding/json"
	"slices"
	"strings"
)

// unknownValue is the value of the added fields. No field of a protocol takes it, so a
// decoder that confuses an added field with one that it knows fails or returns another
// result.
const unknownValue = `{"unknown":[1]}`

// foldedLetters maps letters to characters that Unicode folds to them.
var foldedLetters = strings.NewReplacer("s", "\u017f", "k", "\u212a")

// SimilarNames returns names that differ from the given one only in case or in characters
// that Unicode folds to the same letters.
func SimilarNames(name string) []string {
	var similar []string
	for _, other := range []string{
		strings.ToUpper(name),
		upperFirst(name),
		foldedLetters.Replace(name),
	} {
		if other != name {
			similar = append(similar, other)
		}
	}
	return similar
}

func upperFirst(name string) string {
	if name == "" {
		return name
	}
	return strings.ToUpper(name[:1]) + name[1:]
}

// AddUnknownFields returns a JSON document with additional fields in each of its objects,
// before and after the existing ones: one with a new name, and for each existing field
// those with similar names. Text that is not JSON is returned unchanged. Names that the
// document uses as keys of a map are treated as fields, too. The values of the fields named
// opaque are not changed.
func AddUnknownFields(document []byte, opaque ...string) []byte {
	if !json.Valid(document) {
		return document
	}
	extension := extension{opaque: opaque}
	return extension.appendValue(nil, document)
}

// extension adds fields to a document.
type extension struct {
	opaque []string // names of fields whose values are not changed
}

// appendValue appends a valid JSON value with the additional fields.
func (e extension) appendValue(out []byte, value json.RawMessage) []byte {
	switch trimmed := strings.TrimLeft(string(value), " \t\r\n"); trimmed[0] {
	case '{':
		return e.appendObject(out, value)
	case '[':
		return e.appendList(out, value)
	default:
		return append(out, value...)
	}
}

func (e extension) appendList(out []byte, value json.RawMessage) []byte {
	var elements []json.RawMessage
	if err := json.Unmarshal(value, &elements); err != nil {
		panic(err) // the document is valid
	}
	out = append(out, '[')
	for i, element := range elements {
		if i > 0 {
			out = append(out, ',')
		}
		out = e.appendValue(out, element)
	}
	return append(out, ']')
}

func (e extension) appendObject(out []byte, value json.RawMessage) []byte {
	members := objectMembers(value)
	out = append(out, '{')
	out = appendUnknown(out, "unknown_field")
	for _, member := range members {
		for _, similar := range SimilarNames(member.name) {
			out = append(out, ',')
			out = appendUnknown(out, similar)
		}
	}
	for _, member := range members {
		out = append(out, ',')
		out = appendName(out, member.name)
		if slices.Contains(e.opaque, member.name) {
			out = append(out, member.value...)
			continue
		}
		out = e.appendValue(out, member.value)
	}
	for _, member := range members {
		for _, similar := range SimilarNames(member.name) {
			out = append(out, ',')
			out = appendUnknown(out, similar)
		}
	}
	return append(out, '}')
}

func appendUnknown(out []byte, name string) []byte {
	return append(appendName(out, name), unknownValue...)
}

func appendName(out []byte, name string) []byte {
	encoded, err := json.Marshal(name)
	if err != nil {
		panic(err) // a string can always be encoded
	}
	return append(append(out, encoded...), ':')
}

// member is a field of an object.
type member struct {
	name  string
	value json.RawMessage
}

// objectMembers returns the fields of an object in their order.
func objectMembers(object json.RawMessage) []member {
	decoder := json.NewDecoder(strings.NewReader(string(object)))
	if _, err := decoder.Token(); err != nil { // the opening brace
		panic(err)
	}
	var members []member
	for decoder.More() {
		name, err := decoder.Token()
		if err != nil {
			panic(err)
		}
		var value json.RawMessage
		if err := decoder.Decode(&value); err != nil {
			panic(err)
		}
		members = append(members, member{name.(string), value})
	}
	return members
}
