package config

import (
	"errors"
	"fmt"
	"reflect"
	"strings"

	"lugward/internal/jsonwire"
)

// Error describes an invalid setting.
type Error struct {
	File     string // empty if the settings were not read from a file
	Key      string // dotted path, or empty if the error concerns the whole file
	Expected string
	Found    string // empty if no value was found
	Err      error  // the cause, may be nil

	message string // one line for operators, without the file name
}

// Error returns a single line that names the key, if there is one, and the expected
// value. It does not name the file, since Load prefixes its errors with the file name.
func (e *Error) Error() string { return e.message }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// newError returns e as an error with the formatted message.
func newError(e Error, format string, args ...any) error {
	e.message = fmt.Sprintf(format, args...)
	return &e
}

// withFile adds the file to an error. description names the kind of settings file.
func withFile(description, path string, err error) error {
	var configError *Error
	if errors.As(err, &configError) {
		configError.File = path
	}
	return fmt.Errorf("%s %s: %w", description, path, err)
}

// jsonError converts an error of the JSON decoder. The result names the key and the
// expected type, or the offset at which the JSON is invalid.
func jsonError(err error) error {
	var wrongType *jsonwire.UnmarshalTypeError
	if errors.As(err, &wrongType) {
		e := Error{Key: wrongType.Field, Expected: jsonKind(wrongType.Type.Kind()), Found: wrongType.Value, Err: err}
		location := e.Key
		if location == "" {
			location = "the file"
		}
		return newError(e, "%s: expected %s, found %s", location, e.Expected, e.Found)
	}
	e := Error{Expected: "JSON", Err: err}
	var syntax *jsonwire.SyntaxError
	if errors.As(err, &syntax) {
		e.Found = fmt.Sprintf("invalid text at byte %d", syntax.Offset)
		return newError(e, "expected JSON, found invalid text at byte %d: %v", syntax.Offset, err)
	}
	return newError(e, "%v", err)
}

// jsonKind returns the JSON type that corresponds to the Go kind of a setting.
func jsonKind(kind reflect.Kind) string {
	switch kind {
	case reflect.String:
		return "a string"
	case reflect.Int:
		return "an integer"
	case reflect.Float64:
		return "a number"
	case reflect.Slice:
		return "a list"
	}
	return "an object"
}

// tomlError converts an error of the TOML decoder. If a value stands where a table is
// expected, the decoder's text contains Go type names, which are replaced. Other errors
// already name the line and the key clearly.
func tomlError(err error) error {
	message := err.Error()
	e := Error{Key: keyOfTOMLError(message), Expected: "TOML as in docs/lugward.sample.toml", Err: err}
	if position, _, found := strings.Cut(message, "type mismatch for "); found {
		e.Expected = "a table"
		message = position + "expected a table"
	}
	return newError(e, "%s", message)
}

// keyOfTOMLError extracts the key from the text of a decoder error. Only some of the
// decoder's error types have a field for the key, but all include it in their text.
func keyOfTOMLError(message string) string {
	_, rest, _ := strings.Cut(message, `(last key "`)
	key, _, found := strings.Cut(rest, `")`)
	if !found {
		return ""
	}
	return key
}
