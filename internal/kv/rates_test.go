package kv

import (
	"testing"
	"time"
)

// TestRatesLowered checks that the first 429 puts the announced rates into force, and
// that the current rates stay if no rates or higher ones are announced.
func TestRatesLowered(t *testing.T) {
	for _, test := range []struct {
		name              string
		next, wantLowered float64
	}{
		{"lower rate announced", 10, 10},
		{"higher rate announced", 200, 60},
		{"no rate announced", 0, 60},
	} {
		t.Run(test.name, func(t *testing.T) {
			cfg := ampleConfig
			cfg.Limits.NextRates.Writes = test.next
			h := newHarness(t, cfg)
			txn, results := newWrite("a")
			h.submit(txn, time.Minute)
			h.advance(0)
			if before := h.TotalRates().Writes; before != 60 {
				t.Fatalf("initial rate = %v writes per second, want 60", before)
			}
			h.respond(h.drainFirstCall(commitPath), 429, `{}`)
			if got, want := h.TotalRates(), (Rates{Requests: 100, Writes: test.wantLowered}); got != want {
				t.Errorf("TotalRates = %+v, want %+v", got, want)
			}
			h.advance(time.Second)
			h.respond(h.drainFirstCall(commitPath), 200, `{"epoch":9}`)
			wantOutcome(t, "the write", results, Committed)
		})
	}
}
