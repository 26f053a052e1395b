package kv

import (
	"testing"
	"time"
)

// TestRatesLowered: the first 429 puts the announced rates into force; where none
// are announced, or higher ones, the present rates stay.
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
				t.Fatalf("%v writes a second from the start", before)
			}
			h.respond(h.takeFirstCall(commitPath), 429, `{}`)
			if got, want := h.TotalRates(), (Rates{Requests: 100, Writes: test.wantLowered}); got != want {
				t.Errorf("rates %+v, want %+v", got, want)
			}
			h.advance(time.Second)
			h.respond(h.takeFirstCall(commitPath), 200, `{"epoch":9}`)
			wantOutcome(t, "the write", results, Committed)
		})
	}
}
