// Package record encodes and decodes the records that controllers store in the
// state service: jobs, run records, terminal records, retry states and pages of long
// lists of upstream jobs. It holds the stored JSON names and key prefixes, which all
// versions of the controller must agree on, and nothing else: its functions are pure,
// and its structs name classes, machines and the like as strings.
//
// A record may have fields of a later version. Decoding returns them as Fields, and
// encoding writes them again, since controllers of two versions serve side by side
// while they are replaced.
package record

import (
	"encoding/json"
	"errors"
	"fmt"
)

// What is wrong with a record that cannot be decoded. A DecodeError wraps one of them.
var (
	// ErrMalformed means that a value is not JSON of the required type.
	ErrMalformed = errors.New("malformed value")
	// ErrLength means that a list or bitmap has a wrong number of elements.
	ErrLength = errors.New("wrong length")
	// ErrOutOfRange means that a number is outside of its range.
	ErrOutOfRange = errors.New("number out of range")
	// ErrCompactText means that a compact list of assignments breaks its grammar.
	ErrCompactText = errors.New("invalid compact list of assignments")
)

// DecodeError says which field of which record cannot be decoded, and why. The record
// is damaged, or a later version has written it in a format that this one does not know.
type DecodeError struct {
	Kind  Kind   // of the record
	Field string // its stored JSON name; empty: the record as a whole
	Err   error  // wraps ErrMalformed, ErrLength, ErrOutOfRange or ErrCompactText
}

// Error describes the error.
func (e *DecodeError) Error() string {
	if e.Field == "" {
		return fmt.Sprintf("decode record of kind %q: %v", string(e.Kind), e.Err)
	}
	return fmt.Sprintf("decode record of kind %q: field %q: %v", string(e.Kind), e.Field, e.Err)
}

// Unwrap returns what is wrong.
func (e *DecodeError) Unwrap() error { return e.Err }

// unmarshal decodes a record, or one of its fields if a name is given.
func unmarshal(kind Kind, field string, data []byte, value any) error {
	err := json.Unmarshal(data, value)
	if err == nil {
		return nil
	}
	var typeError *json.UnmarshalTypeError
	if field == "" && errors.As(err, &typeError) {
		field = typeError.Field
	}
	return &DecodeError{kind, field, fmt.Errorf("%w: %w", ErrMalformed, err)}
}

// marshal encodes a record. All stored types can be encoded, and the API admits only
// finite numbers, so an error is a fault of the program.
func marshal(value any) []byte {
	data, err := json.Marshal(value)
	if err != nil {
		panic(fmt.Sprintf("record: encode %T: %v", value, err))
	}
	return data
}
