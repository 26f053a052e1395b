// Package jsonwire decodes JSON that other processes have written: users, workers, the
// cloud, the state service and the platform.
//
// Names of fields are compared byte by byte, as RFC 8259 does. The standard library's
// encoding/json also matches names that differ in case, or in characters that Unicode
// folds to the same letter, so a field that a receiver must ignore would replace one that
// it knows. In all other respects documents are decoded as by encoding/json: unknown
// fields are ignored, the last of several fields with the same name wins, and invalid
// UTF-8 is replaced.
package jsonwire

import (
	"github.com/go-json-experiment/json"
	jsonv1 "github.com/go-json-experiment/json/v1"
)

type (
	// SyntaxError is the error for text that is not JSON.
	SyntaxError = jsonv1.SyntaxError
	// UnmarshalTypeError is the error for a value of the wrong type.
	UnmarshalTypeError = jsonv1.UnmarshalTypeError
)

// decodeOptions are those of encoding/json, except that names match exactly.
var decodeOptions = json.JoinOptions(jsonv1.DefaultOptionsV1(), json.MatchCaseInsensitiveNames(false))

// Unmarshal decodes a JSON document into the value that a pointer points to. The error for
// invalid text is a *SyntaxError, that for a value of the wrong type an
// *UnmarshalTypeError.
func Unmarshal(data []byte, into any) error { return json.Unmarshal(data, into, decodeOptions) }
