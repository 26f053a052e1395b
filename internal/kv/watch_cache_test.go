package kv

import (
	"testing"
	"time"

	"lugward/internal/event"
)

// TestOvertakenWatch guards against restoring a deleted key: the response to a watch
// arrives after the response to a later barrier and lists a key that has been deleted
// since.
func TestOvertakenWatch(t *testing.T) {
	h := newHarness(t, ampleConfig, `{"key":"j/req-1","data":{"n":1},"stamp":3}`)
	watch := h.drainFirstCall(watchPath)
	h.Barrier(func(event.Time, error, *event.Effects) {})
	h.advance(time.Second)
	barrier := h.drainFirstCall(watchPath)
	h.respond(barrier, 200, `{"epoch":9,"log":[{"write":"j/req-1","data":{"n":2},"stamp":7},{"drop":"j/req-1","stamp":9}]}`)
	h.respond(watch, 200, `{"epoch":7,"log":[{"write":"j/req-1","data":{"n":2},"stamp":7}]}`)
	if got := h.values["j/req-1"]; got != "" || h.ModRevision("j/req-1") != 0 {
		t.Errorf("deleted key j/req-1: got value %s and mod revision %d, want neither", got, h.ModRevision("j/req-1"))
	}
	if h.Revision() != 9 {
		t.Errorf("Revision = %d, want 9", h.Revision())
	}
}

// TestOvertakenCommit guards against the same fault for the response to a write of this
// controller whose key other controllers have deleted since.
func TestOvertakenCommit(t *testing.T) {
	h := newHarness(t, ampleConfig)
	watch := h.drainFirstCall(watchPath)
	outcome := Aborted
	h.Submit(&Txn{
		Priority: PrioritySubmission,
		Compares: []Compare{{Key: "j/req-1"}},
		Writes:   []Write{{Key: "j/req-1", Data: []byte(`{"n":1}`)}},
		Done:     func(r Result) { outcome = r.Outcome },
	}, time.Minute)
	h.advance(time.Second)
	commit := h.drainFirstCall(commitPath)
	h.respond(watch, 200, `{"epoch":8,"log":[{"write":"j/req-1","data":{"n":1},"stamp":6},{"drop":"j/req-1","stamp":8}]}`)
	h.respond(commit, 200, `{"epoch":6}`)
	if outcome != Committed || h.values["j/req-1"] != "" || h.ModRevision("j/req-1") != 0 {
		t.Errorf("got outcome %v and value %q of the deleted key, want committed and none", outcome, h.values["j/req-1"])
	}
}

// TestOwnWriteAtOnce checks that the cache holds a write of this controller before the
// store's log returns it.
func TestOwnWriteAtOnce(t *testing.T) {
	h := newHarness(t, ampleConfig)
	h.Submit(&Txn{
		Priority: PrioritySubmission,
		Writes:   []Write{{Key: "f/req-1", Data: []byte(`{}`)}},
		Done:     func(Result) {},
	}, time.Minute)
	h.advance(time.Second)
	h.respond(h.drainFirstCall(commitPath), 200, `{"epoch":6}`)
	if h.ModRevision("f/req-1") != 6 || h.Revision() != 5 {
		t.Errorf("got mod revision %d at cache revision %d, want 6 at 5", h.ModRevision("f/req-1"), h.Revision())
	}
}

// TestImmutableKeys checks that OnChange receives immutable keys from pages, from the
// log and from writes of this controller, that the cache keeps no mod revisions of
// them, and that a new scan deletes none of them.
func TestImmutableKeys(t *testing.T) {
	cfg := ampleConfig
	cfg.ImmutablePrefix = "f/"
	h := newHarness(t, cfg, `{"key":"f/req-1","data":{"n":1},"stamp":3}`, `{"key":"j/req-2","data":{"n":2},"stamp":4}`)
	watch := h.drainFirstCall(watchPath)
	h.Submit(&Txn{
		Priority: PrioritySubmission,
		Compares: []Compare{{Key: "f/req-2"}},
		Writes:   []Write{{Key: "f/req-2", Data: []byte(`{"n":2}`)}},
		Done:     func(Result) {},
	}, time.Minute)
	h.advance(time.Second)
	h.respond(h.drainFirstCall(commitPath), 200, `{"epoch":6}`)
	h.respond(watch, 200, `{"epoch":7,"log":[{"write":"f/req-2","data":{"n":2},"stamp":6},{"write":"f/req-3","data":{"n":3},"stamp":7}]}`)
	h.advance(time.Second)
	h.respond(h.drainFirstCall(watchPath), 410, `{}`)
	h.advance(time.Second)
	h.respond(h.drainFirstCall(keysPath), 200, `{"items":[],"has_next":false,"epoch":9}`)
	for _, key := range []string{"f/req-1", "f/req-2", "f/req-3"} {
		if h.values[key] == "" || h.ModRevision(key) != 0 {
			t.Errorf("%s: got value %q and mod revision %d, want a value and 0", key, h.values[key], h.ModRevision(key))
		}
	}
	if h.values["j/req-2"] != "" || len(h.cache.modRevisions) != 0 {
		t.Errorf("got values %v and mod revisions %v, want j/req-2 deleted and no mod revisions", h.values, h.cache.modRevisions)
	}
}
