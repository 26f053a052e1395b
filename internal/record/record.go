// Package record encodes and decodes the records that controllers store in the
// state service: jobs, run records, terminal records, retry states and pages of long
// lists of upstream jobs. It defines the stored JSON names and the key prefixes of these
// records, on which all versions of the controller must agree. Its functions are pure,
// and its structs refer to classes, machines and similar objects by name.
//
// A record may have fields that a later version has added. Decoding returns them as
// Fields and encoding writes them back, because controllers of two versions run side by
// side during a rolling upgrade.
package record

import (
	"encoding/json"
	"errors"
	"fmt"

	"lugward/internal/jsonwire"
)

// Reasons why a record cannot be decoded. A DecodeError wraps one of them.
var (
	// ErrMalformed means that a value is not JSON of the required type.
	ErrMalformed = errors.New("malformed value")
	// ErrLength means that a list or bitmap has the wrong number of elements.
	ErrLength = errors.New("wrong length")
	// ErrOutOfRange means that a number is outside its valid range.
	ErrOutOfRange = errors.New("number out of range")
	// ErrCompactText means that a compact list of assignments violates its grammar.
	ErrCompactText = errors.New("invalid compact list of assignments")
)

// DecodeError reports which field of which kind of record cannot be decoded, and why. The
// record is corrupted, or a later version wrote it in a format unknown to this version.
type DecodeError struct {
	Kind  Kind   // kind of the record
	Field string // stored JSON name; empty if the whole record cannot be decoded
	Err   error  // wraps ErrMalformed, ErrLength, ErrOutOfRange or ErrCompactText
}

// Error returns the kind of the record, the field and the reason in one line.
func (e *DecodeError) Error() string {
	if e.Field == "" {
		return fmt.Sprintf("decode record of kind %q: %v", string(e.Kind), e.Err)
	}
	return fmt.Sprintf("decode record of kind %q: field %q: %v", string(e.Kind), e.Field, e.Err)
}

// Unwrap returns the reason.
func (e *DecodeError) Unwrap() error { return e.Err }

// unmarshal decodes a record, or one of its fields if field is not empty.
func unmarshal(kind Kind, field string, data []byte, value any) error {
	err := jsonwire.Unmarshal(data, value)
	if err == nil {
		return nil
	}
	var typeError *jsonwire.UnmarshalTypeError
	if field == "" && errors.As(err, &typeError) {
		field = typeError.Field
	}
	return &DecodeError{kind, field, fmt.Errorf("%w: %w", ErrMalformed, err)}
}

// marshal encodes a record. All stored types can be encoded, and the API accepts only
// finite numbers, so an error is a programming error.
func marshal(value any) []byte {
	data, err := json.Marshal(value)
	if err != nil {
		panic(fmt.Sprintf("record: encode %T: %v", value, err))
	}
	return data
}
