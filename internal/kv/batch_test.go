package kv

import (
	"testing"
	"time"
)

// TestBatchLimits checks that no request exceeds the limits on writes and compares.
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
		for _, call := range h.drainCalls(commitPath) {
			if body := decodeCommitBody(t, call); len(body.If) > 16 || len(body.Then) > 4 {
				t.Fatalf("got request with %d compares and %d writes, want at most 16 and 4", len(body.If), len(body.Then))
			}
			h.respond(call, 200, `{"epoch":9}`)
		}
	}
	if done != 12 {
		t.Errorf("got %d ended transactions, want 12", done)
	}
}

// TestTxnLargerThanRateShare checks that a transaction with more writes than the token
// bucket for this controller's share of the rate can hold is sent once the bucket is
// full, and that the excess delays the following transactions.
func TestTxnLargerThanRateShare(t *testing.T) {
	h := newHarness(t, Config{Limits: Limits{TxnOps: 4, Rates: Rates{Requests: 100, Writes: 100}}})
	h.SetRateShare(Rates{Requests: 100, Writes: 0.5})
	h.advance(0)
	h.drainCalls("")
	for i := range 20 {
		prefix := string(rune('a' + i))
		txn, _ := newWrite(prefix+"1", prefix+"2", prefix+"3")
		h.submit(txn, time.Hour)
	}
	sent := 0
	for range 600 {
		h.advance(100 * time.Millisecond)
		for _, call := range h.drainCalls(commitPath) {
			writes := len(decodeCommitBody(t, call).Then)
			if writes > 4 {
				t.Fatalf("got request with %d writes, want at most 4", writes)
			}
			sent += writes
			h.respond(call, 200, `{"epoch":9}`)
		}
	}
	// 0.5 writes per second for a minute, plus those that the first transaction borrowed.
	if sent < 27 || sent > 33 {
		t.Errorf("got %d writes in a minute, want 27 to 33", sent)
	}
}
