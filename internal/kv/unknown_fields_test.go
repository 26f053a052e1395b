package kv

import (
	"testing"

	"lugward/internal/jsonwire/jsonwiretest"
)

// TestUnknownFields checks that fields whose names are similar to those of the store's
// responses do not change them (review case 7 shows the fault for submissions). The values
// of keys are passed on unchanged, so they are scalars here.
func TestUnknownFields(t *testing.T) {
	for _, c := range []struct {
		name, body string
		decode     func(body []byte) (any, error)
	}{
		{"page of keys", `{"items":[{"key":"a/b","data":1,"stamp":4}],"has_next":true,"epoch":5}`,
			func(body []byte) (any, error) { return decodeKeyPage(body) }},
		{"changes", `{"epoch":5,"log":[{"write":"a","data":1,"stamp":4},{"drop":"b","stamp":5}]}`,
			func(body []byte) (any, error) { return decodeChanges(body) }},
		{"commit", `{"failed":["a"],"epoch":5}`, func(body []byte) (any, error) { return decodeCommit(body) }},
		{"lease", `{"tether":7}`, func(body []byte) (any, error) { return decodeGrant(body) }},
	} {
		t.Run(c.name, func(t *testing.T) { jsonwiretest.CheckUnknownFields(t, []byte(c.body), c.decode) })
	}
}

// TestDeletionIsNoWrite checks that a field similar to "drop" does not turn a write into a
// deletion.
func TestDeletionIsNoWrite(t *testing.T) {
	got, err := decodeChanges([]byte(`{"epoch":5,"log":[{"write":"a","data":1,"stamp":4,"Drop":"a"}]}`))
	if err != nil || len(got.Log) != 1 || got.Log[0].Drop != "" {
		t.Errorf("got %+v, %v; want a write", got, err)
	}
}
