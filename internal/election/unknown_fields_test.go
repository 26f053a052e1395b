package election

import (
	"testing"

	"lugward/internal/jsonwire/jsonwiretest"
)

// TestUnknownFields checks that fields whose names are similar to those of a term record do
// not change it (review case 7 shows the fault for submissions).
func TestUnknownFields(t *testing.T) {
	document := termRecord{Label: "n0", FencingToken: 7}.encode()
	jsonwiretest.CheckUnknownFields(t, document, func(document []byte) (any, error) { return decodeTermRecord(document) })
}
