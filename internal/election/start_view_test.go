package election

import (
	"bytes"
	"testing"
	"time"

	"lugward/internal/event"
)

// newFollower returns an election that follows the leader n1. data is the value of the term key,
// and keys are read up to revision 9.
func newFollower(t *testing.T, data string) *harness {
	t.Helper()
	h := newHarness(t)
	h.tick(0)
	h.respond(0, "/keys", `{"items":[{"key":"t/lead","data":`+data+`,"stamp":4}],"epoch":5}`)
	h.tick(0)
	h.respond(0, "/follow", `{"epoch":9,"log":[]}`)
	return h
}

// The term keys of a leader of this version and of one of an earlier version, which states no
// limit on the age of its watch cache.
const (
	limitedTerm   = `{"l":"n1","f":3,"sv":1500}`
	unlimitedTerm = `{"l":"n1","f":3}`
)

// TestStartsInclude checks when a controller may rely on every start command to take a change
// into account, and so confirm a cancellation.
func TestStartsInclude(t *testing.T) {
	const seenAt event.Time = time.Hour
	for _, test := range []struct {
		name     string
		term     string
		revision uint64 // of the change
		prepare  func(h *harness)
		wait     time.Duration // time from which the change is included
	}{
		{"the leader limits the age of its view", limitedTerm, 8, nil, 1601500 * time.Microsecond},
		{"the leader is of an earlier version", unlimitedTerm, 8, nil, 4104 * time.Millisecond},
		{"the term at the change is not known yet", limitedTerm, 10, nil, 4104 * time.Millisecond},
		{"the term began after the change", limitedTerm, 3, nil, 0},
		{"a term of an earlier version began after the change", unlimitedTerm, 3, nil, 4104 * time.Millisecond},
		{"the leader has shown that it knows the change", unlimitedTerm, 8,
			func(h *harness) { h.RecordLeaderRevision(8) }, 0},
		{"the leader knows older changes only", limitedTerm, 8,
			func(h *harness) { h.RecordLeaderRevision(7) }, 1601500 * time.Microsecond},
		{"an older statement of the leader arrives late", limitedTerm, 8,
			func(h *harness) { h.RecordLeaderRevision(8); h.RecordLeaderRevision(7) }, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newFollower(t, test.term)
			if test.prepare != nil {
				test.prepare(h)
			}
			if got := h.StartsInclude(test.revision, seenAt, seenAt+test.wait); !got {
				t.Errorf("StartsInclude = false %v after the change was seen, want true", test.wait)
			}
			if test.wait > 0 && h.StartsInclude(test.revision, seenAt, seenAt+test.wait-1) {
				t.Errorf("StartsInclude = true before %v after the change was seen, want false", test.wait)
			}
		})
	}
}

// TestLeaderIncludesItsChanges checks that a leader relies on its own knowledge while its lease is
// valid, and waits like the others afterwards.
func TestLeaderIncludesItsChanges(t *testing.T) {
	const now event.Time = time.Minute
	h := newLeader(t, now)
	if !h.StartsInclude(8, now, now) {
		t.Error("StartsInclude = false for the leader, want true")
	}
	expired := now + h.reliableLease()
	if h.StartsInclude(8, expired, expired) {
		t.Error("StartsInclude = true after the lease of the leader, want false")
	}
}

// TestMayStartTasks checks that a leader with an old view or without a valid lease starts nothing.
func TestMayStartTasks(t *testing.T) {
	const start event.Time = time.Second
	h := newLeader(t, start)
	fresh := h.store.FreshUntil()
	for _, test := range []struct {
		name string
		now  event.Time
		want bool
	}{
		{"fresh view", fresh, true},
		{"view within the limit", fresh + MaxStartViewAge - 1, true},
		{"view too old, lease valid", fresh + MaxStartViewAge, false},
		{"lease expired", start + h.reliableLease(), false},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := h.MayStartTasks(test.now); got != test.want {
				t.Errorf("MayStartTasks = %v, want %v", got, test.want)
			}
		})
	}
}

// TestTermKeyStatesStartViewLimit checks that the term key that a leader writes tells the others
// the limit, on which their confirmations rely.
func TestTermKeyStatesStartViewLimit(t *testing.T) {
	h := newHarness(t)
	h.submitTerm(campaign{token: 3, leaseID: 7})
	h.store.Tick(0, &h.out)
	h.tick(0)
	h.respond(0, "/keys", `{"items":[],"epoch":5}`)
	h.tick(0)
	for _, call := range h.out.Calls {
		if call.Path != "/commit" {
			continue
		}
		if want := `"data":{"l":"n0","f":3,"sv":1500}`; !bytes.Contains(call.Body, []byte(want)) {
			t.Errorf("term transaction is %s, want it to contain %s", call.Body, want)
		}
		return
	}
	t.Error("no term transaction was sent")
}
