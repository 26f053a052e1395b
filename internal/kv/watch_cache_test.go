package kv

import (
	"testing"
	"time"

	"lugward/internal/event"
)

// TestOvertakenWatch: the response to a watch is delayed until after a barrier's
// and lists a key that was deleted since. The key must not come back.
func TestOvertakenWatch(t *testing.T) {
	h := newHarness(t, ampleConfig, `{"key":"j/req-1","data":{"n":1},"stamp":3}`)
	watch := h.takeFirstCall(watchPath)
	h.Barrier(func(event.Time, error, *event.Effects) {})
	h.advance(time.Second)
	barrier := h.takeFirstCall(watchPath)
	h.respond(barrier, 200, `{"epoch":9,"log":[{"write":"j/req-1","data":{"n":2},"stamp":7},{"drop":"j/req-1","stamp":9}]}`)
	h.respond(watch, 200, `{"epoch":7,"log":[{"write":"j/req-1","data":{"n":2},"stamp":7}]}`)
	if got := h.values["j/req-1"]; got != "" || h.ModRevision("j/req-1") != 0 {
		t.Errorf("a deleted key is back: %s, mod revision %d", got, h.ModRevision("j/req-1"))
	}
	if h.Revision() != 9 {
		t.Errorf("the cache is at revision %d", h.Revision())
	}
}

// TestOvertakenCommit: the same for the response to a write of ours whose key
// others deleted meanwhile.
func TestOvertakenCommit(t *testing.T) {
	h := newHarness(t, ampleConfig)
	watch := h.takeFirstCall(watchPath)
	outcome := Aborted
	h.Submit(&Txn{
		Priority: PrioritySubmission,
		Compares: []Compare{{Key: "j/req-1"}},
		Writes:   []Write{{Key: "j/req-1", Data: []byte(`{"n":1}`)}},
		Done:     func(r Result) { outcome = r.Outcome },
	}, time.Minute)
	h.advance(time.Second)
	commit := h.takeFirstCall(commitPath)
	h.respond(watch, 200, `{"epoch":8,"log":[{"write":"j/req-1","data":{"n":1},"stamp":6},{"drop":"j/req-1","stamp":8}]}`)
	h.respond(commit, 200, `{"epoch":6}`)
	if outcome != Committed || h.values["j/req-1"] != "" || h.ModRevision("j/req-1") != 0 {
		t.Errorf("outcome %v, the deleted key shows %q", outcome, h.values["j/req-1"])
	}
}

// TestOwnWriteAtOnce: a write of ours is in the cache before the log brings it.
func TestOwnWriteAtOnce(t *testing.T) {
	h := newHarness(t, ampleConfig)
	h.Submit(&Txn{
		Priority: PrioritySubmission,
		Writes:   []Write{{Key: "f/req-1", Data: []byte(`{}`)}},
		Done:     func(Result) {},
	}, time.Minute)
	h.advance(time.Second)
	h.respond(h.takeFirstCall(commitPath), 200, `{"epoch":6}`)
	if h.ModRevision("f/req-1") != 6 || h.Revision() != 5 {
		t.Errorf("mod revision %d at revision %d", h.ModRevision("f/req-1"), h.Revision())
	}
}

// TestImmutableKeys: keys that never change reach OnChange from pages, from the
// log and from writes of ours; nothing of them is kept, and a new scan deletes
// none of them.
func TestImmutableKeys(t *testing.T) {
	cfg := ampleConfig
	cfg.ImmutablePrefix = "f/"
	h := newHarness(t, cfg, `{"key":"f/req-1","data":{"n":1},"stamp":3}`, `{"key":"j/req-2","data":{"n":2},"stamp":4}`)
	watch := h.takeFirstCall(watchPath)
	h.Submit(&Txn{
		Priority: PrioritySubmission,
		Compares: []Compare{{Key: "f/req-2"}},
		Writes:   []Write{{Key: "f/req-2", Data: []byte(`{"n":2}`)}},
		Done:     func(Result) {},
	}, time.Minute)
	h.advance(time.Second)
	h.respond(h.takeFirstCall(commitPath), 200, `{"epoch":6}`)
	h.respond(watch, 200, `{"epoch":7,"log":[{"write":"f/req-2","data":{"n":2},"stamp":6},{"write":"f/req-3","data":{"n":3},"stamp":7}]}`)
	h.advance(time.Second)
	h.respond(h.takeFirstCall(watchPath), 410, `{}`)
	h.advance(time.Second)
	h.respond(h.takeFirstCall(keysPath), 200, `{"items":[],"has_next":false,"epoch":9}`)
	for _, key := range []string{"f/req-1", "f/req-2", "f/req-3"} {
		if h.values[key] == "" || h.ModRevision(key) != 0 {
			t.Errorf("%s: %q, mod revision %d", key, h.values[key], h.ModRevision(key))
		}
	}
	if h.values["j/req-2"] != "" || len(h.cache.modRevisions) != 0 {
		t.Errorf("%v, mod revisions %v", h.values, h.cache.modRevisions)
	}
}
