package kv

import (
	"math"
	"testing"
)

func TestFairShares(t *testing.T) {
	const tolerance = 1e-9
	for _, test := range []struct {
		name   string
		rate   float64
		claims []Claim
		want   []float64
	}{
		{"every demand is met, surplus is divided by weight", 20, []Claim{{8, 3}, {4, 1}}, []float64{14, 6}},
		{"large demands divide what small ones leave", 20, []Claim{{100, 1}, {2, 1}, {100, 1}}, []float64{9, 2, 9}},
		{"weights decide among large demands", 20, []Claim{{100, 3}, {100, 1}}, []float64{15, 5}},
		{"one claim", 20, []Claim{{0, 1}}, []float64{20}},
	} {
		t.Run(test.name, func(t *testing.T) {
			for i, got := range FairShares(test.rate, test.claims) {
				if math.Abs(got-test.want[i]) > tolerance {
					t.Errorf("share of claim %d = %v, want %v", i, got, test.want[i])
				}
			}
		})
	}
}
