package election

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"lugward/internal/event"
	"lugward/internal/httpwire"
)

// TestLeaderOnceCacheCaughtUp: a controller that replaces its own term from before a
// restart reads all keys page by page and may lack what that term wrote last. It
// starts nothing, and answers nobody, until its cache shows all that came before
// the new term.
func TestLeaderOnceCacheCaughtUp(t *testing.T) {
	h := newHarness(t)
	h.tick(0)
	h.respond(10*time.Millisecond, "/keys", fmt.Sprintf(`{"items":[%s,%s],"epoch":5}`,
		`{"key":"t/lead","data":{"l":"n0","f":1},"stamp":4}`,
		`{"key":"t/count","data":{"l":"n0","f":1},"stamp":4}`))
	now := time.Second
	h.tick(now)
	h.respond(now, "/leases", `{"tether":7}`)
	h.tick(now)
	// A placement of the process before was executed late, at revision 6.
	h.respond(now, "/commit", `{"epoch":7}`)
	if !h.HoldsTerm() {
		t.Fatal("the term was not taken")
	}
	if h.IsLeader(now) || h.MayRenewWorkerLeases(now) || h.TakeTermStart() {
		t.Error("acts on a cache that lacks what was written before its term")
	}
	h.tick(now)
	if !h.HoldsTerm() {
		t.Error("stepped down while the cache catches up")
	}
	now += time.Millisecond
	h.respond(now, "/follow", `{"epoch":7,"log":[{"write":"r/req-1/0","data":{},"stamp":6},`+
		`{"write":"t/lead","data":{"l":"n0","f":2},"stamp":7},{"write":"t/count","data":{"l":"n0","f":2},"stamp":7}]}`)
	if !h.IsLeader(now) || !h.MayRenewWorkerLeases(now) {
		t.Error("does not act, though the cache is complete")
	}
	if !h.TakeTermStart() {
		t.Error("the term does not begin, though the cache is complete")
	}
	if h.TakeTermStart() {
		t.Error("the term begins twice")
	}
}

// TestStepDown: each reason for stepping down ends the term and is logged.
func TestStepDown(t *testing.T) {
	const start event.Time = time.Second
	for _, test := range []struct {
		name string
		end  func(h *harness)
		want StepDownReason
	}{
		{"another controller has the term key", func(h *harness) {
			h.HandleChange(termKey, []byte(`{"l":"n1","f":2}`), 8)
		}, ReasonTermKeyChanged},
		{"the term key was deleted", func(h *harness) {
			h.HandleChange(termKey, nil, 8)
		}, ReasonTermKeyChanged},
		{"the lease is gone", func(h *harness) {
			h.tick(start)
			h.respondWith(start, "/leases/7/extend", httpwire.StatusNotFound, `{}`)
		}, ReasonLeaseExpired},
		{"the store does not answer for the grace", func(h *harness) {
			h.tick(start + h.cfg.Grace)
		}, ReasonGraceOver},
		{"resigned", func(h *harness) {
			h.Resign(start, ReasonNoHeartbeats, &h.out)
		}, ReasonNoHeartbeats},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newLeader(t, start)
			test.end(h)
			if h.HoldsTerm() || h.IsLeader(start) || h.MayRenewWorkerLeases(start) {
				t.Error("still holds the term")
			}
			if want := fmt.Sprintf("reason=%q", test.want); !strings.Contains(h.log.String(), want) {
				t.Errorf("log lacks %s: %s", want, h.log.String())
			}
		})
	}
}

// TestGrace: after its lease a leader that the store does not answer starts
// nothing, but renews the leases of workers until the grace is over.
func TestGrace(t *testing.T) {
	const start event.Time = time.Second
	h := newLeader(t, start)
	for _, test := range []struct {
		name                string
		after               time.Duration // the last contact with the store
		leader, renewLeases bool
	}{
		{"within the lease", 3700 * time.Millisecond, true, true},
		{"after the part of the lease that is relied on", 3800 * time.Millisecond, false, true},
		{"at the end of the grace, less the margin of the lease", 9799 * time.Millisecond, false, true},
		{"after the grace", 9800 * time.Millisecond, false, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			now := start + test.after
			if got := h.IsLeader(now); got != test.leader {
				t.Errorf("leader: %v", got)
			}
			if got := h.MayRenewWorkerLeases(now); got != test.renewLeases {
				t.Errorf("renews leases of workers: %v", got)
			}
		})
	}
	h.ObserveFencingToken(h.FencingToken() + 1)
	if now := start + 5*time.Second; h.MayRenewWorkerLeases(now) {
		t.Error("renews leases of workers in its grace although there is a later term")
	}
}
