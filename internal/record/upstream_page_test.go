package record

import (
	"fmt"
	"slices"
	"testing"
)

func TestEncodeUpstreamPages(t *testing.T) {
	const limit = 2048
	jobs := make([]string, 0, 900)
	for i := range 900 {
		jobs = append(jobs, fmt.Sprintf("req-%d", i*i*i*i))
	}
	var decoded []string
	for _, page := range EncodeUpstreamPages(jobs, limit) {
		if len(page) > limit {
			t.Errorf("page has %d bytes, want at most %d", len(page), limit)
		}
		got, err := DecodeUpstreamPage(page)
		if err != nil {
			t.Fatalf("DecodeUpstreamPage(%s): %v", page, err)
		}
		decoded = append(decoded, got...)
	}
	if !slices.Equal(jobs, decoded) {
		t.Errorf("decoded pages have %d jobs, want the %d encoded jobs in order", len(decoded), len(jobs))
	}
}
