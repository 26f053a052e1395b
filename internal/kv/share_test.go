package kv

import (
	"math"
	"testing"
)

func TestSplit(t *testing.T) {
	for name, c := range map[string]struct {
		rate   float64
		claims []Claim
		want   []float64
	}{
		"all get what they want, the rest by weight": {20, []Claim{{8, 3}, {4, 1}}, []float64{14, 6}},
		"the greedy get what the others leave":       {20, []Claim{{100, 1}, {2, 1}, {100, 1}}, []float64{9, 2, 9}},
		"weights decide among the greedy":            {20, []Claim{{100, 3}, {100, 1}}, []float64{15, 5}},
		"alone":                                      {20, []Claim{{0, 1}}, []float64{20}},
	} {
		for i, got := range FairShares(c.rate, c.claims) {
			if math.Abs(got-c.want[i]) > 1e-9 {
				t.Errorf("%s: claim %d gets %v, want %v", name, i, got, c.want[i])
			}
		}
	}
}
