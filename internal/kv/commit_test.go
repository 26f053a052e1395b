package kv

import (
	"strings"
	"testing"
	"time"
)

// TestRejectedTxn checks that a 400 ends only the malformed transaction of a request,
// which is not sent again.
func TestRejectedTxn(t *testing.T) {
	h := newHarness(t, Config{Limits: Limits{TxnOps: 4, Rates: Rates{Requests: 100, Writes: 100}}})
	good, goodResults := newWrite("a")
	bad, badResults := newWrite("b")
	h.submit(good, time.Minute)
	h.submit(bad, time.Minute)
	h.advance(0)
	calls := h.drainCalls(commitPath)
	if len(calls) != 1 {
		t.Fatalf("got %d commit requests, want 1", len(calls))
	}
	h.respond(calls[0], 400, `{}`)
	for range 10 {
		for _, call := range h.drainCalls(commitPath) {
			if strings.Contains(string(call.Body), `"b"`) {
				h.respond(call, 400, `{}`)
			} else {
				h.respond(call, 200, `{"epoch":9}`)
			}
		}
		h.advance(time.Second)
	}
	wantOutcome(t, "the transaction in the same request", goodResults, Committed)
	wantOutcome(t, "the malformed transaction", badResults, Rejected)
}

// TestCommitResponses checks the outcome, for each response, of a transaction that is
// alone in its request.
func TestCommitResponses(t *testing.T) {
	for _, test := range []struct {
		name   string
		status int
		body   string
		want   Outcome
	}{
		{"executed", 200, `{"epoch":9}`, Committed},
		{"a compare failed", 409, `{"failed":["a"]}`, Conflict},
		{"malformed", 400, `{}`, Rejected},
		{"no response", 0, ``, Unknown},
		{"executed, body cut off", 200, `{"epoch":`, Unknown},
		{"a compare failed, body cut off", 409, `{"failed":`, Unknown},
		{"server error", 500, `{}`, Unknown},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t, ampleConfig)
			txn, results := newWrite("a")
			h.submit(txn, time.Minute)
			h.advance(0)
			h.respond(h.drainFirstCall(commitPath), test.status, test.body)
			wantOutcome(t, "transaction", results, test.want)
		})
	}
}
