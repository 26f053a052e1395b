package election

import (
	"testing"

	"lugward/internal/jsonwire/jsonwiretest"
)

// TestUnknownFields checks that fields whose names are similar to those of a term record do
// not change it (review case 7 shows the fault for submissions).
func TestUnknownFields(t *testing.T) {
	want := termRecord{Label: "n0", FencingToken: 7}
	got, err := decodeTermRecord(jsonwiretest.AddUnknownFields(want.encode()))
	if err != nil || got != want {
		t.Errorf("got %+v, %v; want %+v", got, err, want)
	}
}
