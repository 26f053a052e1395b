package jsonwiretest

import (
	"reflect"
	"testing"
)

// CheckUnknownFields checks that a decoder returns the same for a document with and without
// additional fields, among them fields whose names are similar to known ones.
func CheckUnknownFields(t *testing.T, document []byte, decode func(document []byte) (any, error)) {
	t.Helper()
	want, err := decode(document)
	if err != nil {
		t.Fatal(err)
	}
	got, err := decode(AddUnknownFields(document))
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("decoded with additional fields: %+v, %v; want %+v", got, err, want)
	}
}
