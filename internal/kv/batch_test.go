package kv

import (
	"testing"
	"time"
)

// TestBatchLimits: no request goes beyond the limits on writes and compares.
func TestBatchLimits(t *testing.T) {
	h := newHarness(t, Config{Limits: Limits{TxnOps: 4, Rates: Rates{Requests: 100, Writes: 100}}})
	done := 0
	for i := range 12 {
		key := string(rune('a' + i))
		txn, _ := newWrite(key)
		for _, c := range "12345" {
			txn.Compares = append(txn.Compares, Compare{Key: key + string(c), ModRevision: 1})
		}
		txn.Done = func(Result) { done++ }
		h.submit(txn, time.Minute)
	}
	for range 20 {
		h.advance(100 * time.Millisecond)
		for _, call := range h.takeCalls(commitPath) {
			if body := decodeCommitBody(t, call); len(body.If) > 16 || len(body.Then) > 4 {
				t.Fatalf("%d compares, %d writes", len(body.If), len(body.Then))
			}
			h.respond(call, 200, `{"epoch":9}`)
		}
	}
	if done != 12 {
		t.Errorf("%d of 12 transactions have ended", done)
	}
}

// TestTxnLargerThanRateShare: where a controller's share of the rate holds fewer writes
// than one transaction has, the transaction is sent once the bucket is full, and
// the rest is owed.
func TestTxnLargerThanRateShare(t *testing.T) {
	h := newHarness(t, Config{Limits: Limits{TxnOps: 4, Rates: Rates{Requests: 100, Writes: 100}}})
	h.SetRateShare(Rates{Requests: 100, Writes: 0.5})
	h.advance(0)
	h.takeCalls("")
	for i := range 20 {
		prefix := string(rune('a' + i))
		txn, _ := newWrite(prefix+"1", prefix+"2", prefix+"3")
		h.submit(txn, time.Hour)
	}
	sent := 0
	for range 600 {
		h.advance(100 * time.Millisecond)
		for _, call := range h.takeCalls(commitPath) {
			writes := len(decodeCommitBody(t, call).Then)
			if writes > 4 {
				t.Fatalf("%d writes in a request", writes)
			}
			sent += writes
			h.respond(call, 200, `{"epoch":9}`)
		}
	}
	// 0.5 a second for a minute, and what the first borrowed.
	if sent < 27 || sent > 33 {
		t.Errorf("%d writes in a minute", sent)
	}
}
