package kv

import (
	"strings"
	"testing"
	"time"
)

// TestQueueOrder checks that transactions of one priority are sent by descending rank,
// those of equal rank in the order of submission, and garbage collection last.
func TestQueueOrder(t *testing.T) {
	h := newHarness(t, Config{Limits: Limits{TxnOps: 1, Rates: Rates{Requests: 100, Writes: 100}}})
	for _, submitted := range []struct {
		key      string
		priority Priority
		rank     int
	}{
		{"cleanup", PriorityGarbageCollection, 9},
		{"low", PriorityProgress, 0},
		{"first", PriorityProgress, 1},
		{"second", PriorityProgress, 1},
		{"place", PriorityPlacement, 0},
	} {
		txn, _ := newWrite(submitted.key)
		txn.Priority, txn.Rank = submitted.priority, submitted.rank
		h.submit(txn, time.Minute)
	}
	var order []string
	for range 20 {
		h.advance(100 * time.Millisecond)
		for _, call := range h.drainCalls(commitPath) {
			for _, key := range []string{"cleanup", "low", "first", "second", "place"} {
				if strings.Contains(string(call.Body), `"`+key+`"`) {
					order = append(order, key)
				}
			}
			h.respond(call, 200, `{"epoch":9}`)
		}
	}
	if got, want := strings.Join(order, " "), "place first second low cleanup"; got != want {
		t.Errorf("commit order = %q, want %q", got, want)
	}
}
