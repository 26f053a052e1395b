package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"strings"
)

// Error says what is wrong with the settings, and where.
type Error struct {
	File     string // empty if the settings were not read from a file
	Key      string // dotted path; empty if the file as a whole is wrong
	Expected string
	Found    string // empty if there is nothing
	Err      error  // the cause; may be nil

	message string // one line for operators, without the file
}

// Error returns one line that names the key, if there is one, and what was expected
// there. It does not name the file: Load's errors do so before it.
func (e *Error) Error() string { return e.message }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// problem returns an error with a message.
func problem(e Error, format string, args ...any) error {
	e.message = fmt.Sprintf(format, args...)
	return &e
}

// inFile adds the file to an error. what says in words which settings it has.
func inFile(what, path string, err error) error {
	var wrong *Error
	if errors.As(err, &wrong) {
		wrong.File = path
	}
	return fmt.Errorf("%s %s: %w", what, path, err)
}

// jsonError names the key and what was expected there, or the place where the text
// is not JSON.
func jsonError(err error) error {
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) {
		e := Error{Key: wrongType.Field, Expected: jsonKind(wrongType.Type.Kind()), Found: wrongType.Value, Err: err}
		place := e.Key
		if place == "" {
			place = "the file"
		}
		return problem(e, "%s: expected %s, found %s", place, e.Expected, e.Found)
	}
	e := Error{Expected: "JSON", Err: err}
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		e.Found = fmt.Sprintf("other text at byte %d", syntax.Offset)
		return problem(e, "not JSON, at byte %d: %v", syntax.Offset, err)
	}
	return problem(e, "%v", err)
}

// jsonKind names what a field of the settings expects, in terms of JSON.
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

// tomlError replaces Go's type names in the decoder's error for a value in place of a
// table. Other errors name the line and the key in plain words.
func tomlError(err error) error {
	message := err.Error()
	e := Error{Key: keyOfTOMLError(message), Expected: "TOML as in docs/lugward.sample.toml", Err: err}
	if position, _, found := strings.Cut(message, "type mismatch for "); found {
		e.Expected = "a table"
		message = position + "expected a table"
	}
	return problem(e, "%s", message)
}

// keyOfTOMLError returns the key that the decoder names. Only some of its errors have
// a type with the key, all have it in their text.
func keyOfTOMLError(message string) string {
	_, rest, _ := strings.Cut(message, `(last key "`)
	key, _, found := strings.Cut(rest, `")`)
	if !found {
		return ""
	}
	return key
}
