package election

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"lugward/internal/event"
	"lugward/internal/httpwire"
)

// TestLeaderOnceCacheCaughtUp checks that a controller does not act as leader before its
// cache contains everything that was written before its term. A controller that replaces
// its own term from before a restart reads all keys page by page, so its cache may lack
// the last writes of the old term. Until it has caught up, it neither starts tasks nor
// answers heartbeats.
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
	// An assignment that the process wrote before the restart was committed late, at revision 6.
	h.respond(now, "/commit", `{"epoch":7}`)
	if !h.HoldsTerm() {
		t.Fatal("HoldsTerm() = false after the term transaction, want true")
	}
	if h.IsLeader(now) || h.MayRenewWorkerLeases(now) || h.ConsumeTermStart() {
		t.Error("the controller acts as leader although its cache lacks writes from before its term")
	}
	h.tick(now)
	if !h.HoldsTerm() {
		t.Error("the controller stepped down while its cache was catching up")
	}
	now += time.Millisecond
	h.respond(now, "/follow", `{"epoch":7,"log":[{"write":"r/req-1/0","data":{},"stamp":6},`+
		`{"write":"t/lead","data":{"l":"n0","f":2},"stamp":7},{"write":"t/count","data":{"l":"n0","f":2},"stamp":7}]}`)
	if !h.IsLeader(now) || !h.MayRenewWorkerLeases(now) {
		t.Error("the controller does not act as leader although its cache has caught up")
	}
	if !h.ConsumeTermStart() {
		t.Error("the start of the term was not reported although the cache has caught up")
	}
	if h.ConsumeTermStart() {
		t.Error("the start of the term was reported twice")
	}
}

// TestStepDown checks that each reason for stepping down ends the term and is logged.
func TestStepDown(t *testing.T) {
	const start event.Time = time.Second
	for _, test := range []struct {
		name string
		end  func(h *harness)
		want StepDownReason
	}{
		{"another controller holds the term key", func(h *harness) {
			h.HandleChange(termKey, []byte(`{"l":"n1","f":2}`), 8)
		}, ReasonTermKeyChanged},
		{"the term key was deleted", func(h *harness) {
			h.HandleChange(termKey, nil, 8)
		}, ReasonTermKeyChanged},
		{"the lease was not found", func(h *harness) {
			h.tick(start)
			h.respondWith(start, "/leases/7/extend", httpwire.StatusNotFound, `{}`)
		}, ReasonLeaseExpired},
		{"the state service does not respond for the grace period", func(h *harness) {
			h.tick(start + h.cfg.Grace)
		}, ReasonGraceExpired},
		{"resigned", func(h *harness) {
			h.Resign(start, ReasonNoHeartbeats, &h.out)
		}, ReasonNoHeartbeats},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newLeader(t, start)
			test.end(h)
			if h.HoldsTerm() || h.IsLeader(start) || h.MayRenewWorkerLeases(start) {
				t.Error("the controller still holds the term or acts as leader")
			}
			if want := fmt.Sprintf("reason=%q", test.want); !strings.Contains(h.log.String(), want) {
				t.Errorf("log does not contain %s: %s", want, h.log.String())
			}
		})
	}
}

// TestGrace checks that a leader that gets no responses from the state service starts no
// tasks after its lease, but renews the leases of workers until the end of the grace
// period.
func TestGrace(t *testing.T) {
	const start event.Time = time.Second
	h := newLeader(t, start)
	for _, test := range []struct {
		name                string
		after               time.Duration // since the last response of the state service
		leader, renewLeases bool
	}{
		{"within the lease", 3700 * time.Millisecond, true, true},
		{"after the reliable part of the lease", 3800 * time.Millisecond, false, true},
		{"at the end of the grace period less the lease margin", 9799 * time.Millisecond, false, true},
		{"after the grace period", 9800 * time.Millisecond, false, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			now := start + test.after
			if got := h.IsLeader(now); got != test.leader {
				t.Errorf("IsLeader() = %v, want %v", got, test.leader)
			}
			if got := h.MayRenewWorkerLeases(now); got != test.renewLeases {
				t.Errorf("MayRenewWorkerLeases() = %v, want %v", got, test.renewLeases)
			}
		})
	}
	h.RecordFencingToken(h.FencingToken() + 1)
	if now := start + 5*time.Second; h.MayRenewWorkerLeases(now) {
		t.Error("MayRenewWorkerLeases() = true in the grace period although a later term was observed, want false")
	}
}
