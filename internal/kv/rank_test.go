package kv

import (
	"strings"
	"testing"
	"time"
)

// Of one priority the greater rank goes first, equal ones in their order; what
// nobody waits for goes last.
func TestOrderOfIntents(t *testing.T) {
	h := newHarness(Limits{TxnOps: 1, Rates: Rates{Requests: 100, Writes: 100}})
	for _, intent := range []struct {
		key      string
		priority Priority
		rank     int
	}{{"cleanup", PriorityCleanup, 9}, {"low", PriorityProgress, 0}, {"first", PriorityProgress, 1}, {"second", PriorityProgress, 1}, {"place", PriorityPlacement, 0}} {
		in, _ := newWrite(intent.key)
		in.Priority, in.Rank = intent.priority, intent.rank
		h.Submit(in, h.now+time.Minute)
	}
	var order []string
	for range 20 {
		h.wait(100 * time.Millisecond)
		for _, call := range h.take("/commit") {
			for _, key := range []string{"cleanup", "low", "first", "second", "place"} {
				if strings.Contains(string(call.Body), `"`+key+`"`) {
					order = append(order, key)
				}
			}
			h.answer(call, 200, `{"epoch":9}`)
		}
	}
	if got := strings.Join(order, " "); got != "place first second low cleanup" {
		t.Error(got)
	}
}
