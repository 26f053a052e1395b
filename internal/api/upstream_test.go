package api

import (
	"strings"
	"testing"

	"lugward/internal/pipeline"
)

// TestUpstreamLists checks valid, malformed and infeasible lists of upstream jobs, and
// repeated submissions.
func TestUpstreamLists(t *testing.T) {
	s := newFakeStore(t)
	n := newController(t, s, "n0")
	n.expect("no list", n.submit(1, ``), 201, "queued")
	n.expect("null", n.submit(2, `,"awaits":null`), 201, "queued")
	n.expect("empty", n.submit(3, `,"awaits":[]`), 201, "queued")
	for _, id := range []string{"req-1", "req-2", "req-3"} {
		if !n.jobs.Job(id).Ready {
			t.Errorf("job %s is not ready, want ready", id)
		}
	}
	for _, bad := range []string{`"req-1"`, `5`, `{}`, `[1]`, `[null]`, `["x"]`, `["req-"]`, `["req-1 "]`, `true`} {
		n.expect(bad, n.submit(4, `,"awaits":`+bad), 400, "")
	}
	n.expect("depends on itself", n.submit(4, `,"awaits":["req-4"]`), 422, "")
	n.expect("unknown upstream job", n.submit(4, `,"awaits":["req-1","req-99"]`), 422, "")
	n.expect("depends on other jobs", n.submit(4, `,"awaits":["req-1","req-2","req-1"]`), 201, "queued")
	if j := n.jobs.Job("req-4"); j.Ready || strings.Join(n.jobs.UpstreamIDs(j), " ") != "req-1 req-2" || j.SubmittedAt == 0 {
		t.Errorf("req-4: got Ready = %t, upstream jobs %v, SubmittedAt = %d; want false, [req-1 req-2] and a time", j.Ready, n.jobs.UpstreamIDs(j), j.SubmittedAt)
	}
	// A retry gets the job's status before its upstream list is checked.
	for _, list := range []string{`["req-99"]`, `["req-4"]`, `[]`, `7`} {
		n.expect("retry "+list, n.submit(4, `,"awaits":`+list), 200, "queued")
	}
	// The same holds on another controller, and after the job has ended.
	m := newController(t, s, "n1")
	n.expect("retry on other controller", m.submit(4, `,"awaits":["req-99"]`), 200, "queued")
	s.put("f/req-4", terminalRecord(pipeline.Cancelled))
	n.expect("retry after the end", newController(t, s, "n2").submit(4, `,"awaits":7`), 200, "cancelled")
}

// TestUpstreamDaemon checks that no job may depend on a daemon, as a daemon never ends by
// itself.
func TestUpstreamDaemon(t *testing.T) {
	s := newFakeStore(t)
	n := newController(t, s, "n0")
	daemon := strings.Replace(body(1, ""), "array", "daemon", 1)
	n.expect("daemon", n.send("POST", "/submissions", daemon), 201, "queued")
	n.expect("downstream of a daemon", n.submit(2, `,"awaits":["req-1"]`), 422, "")
	n.expect("cancel", n.cancel(1), 200, "cancelled")
	s.put("j/req-1", nil)
	n.expect("downstream of an ended daemon", n.submit(2, `,"awaits":["req-1"]`), 422, "")
}

// TestUpstreamNotSeenYet guards against rejecting a submission because the watch cache is
// behind: another controller may have just accepted the upstream job or the job itself.
// An invalid upstream list gets 400 or 422 only after a read barrier.
func TestUpstreamNotSeenYet(t *testing.T) {
	s := newFakeStore(t)
	n, m := newController(t, s, "n0"), newController(t, s, "n1")
	n.expect("upstream", n.submit(1, ""), 201, "queued")
	s.unavailable = true
	n.expect("accepted upstream job, state service unavailable", m.submit(2, `,"awaits":["req-1"]`), 503, "")
	n.expect("unknown upstream job, state service unavailable", m.submit(2, `,"awaits":["req-9"]`), 503, "")
	n.expect("malformed list, state service unavailable", m.submit(2, `,"awaits":["x"]`), 503, "")
	s.unavailable = false
	o := newController(t, s, "n2")
	n.submit(3, "") // the record is not in the watch cache of o
	if o.jobs.Job("req-3") != nil {
		t.Fatal("req-3 is in the watch cache before a barrier, want it missing")
	}
	n.expect("upstream job not in the watch cache", o.submit(2, `,"awaits":["req-1","req-3"]`), 201, "queued")
	n.expect("unknown upstream job", o.submit(4, `,"awaits":["req-5"]`), 422, "")
}

// TestUpstreamEnded checks submissions whose upstream jobs are done or cancelled.
func TestUpstreamEnded(t *testing.T) {
	s := newFakeStore(t)
	n := newController(t, s, "n0")
	for id := range 3 {
		n.expect("upstream", n.submit(1+id, ""), 201, "queued")
	}
	s.put("f/req-1", terminalRecord(pipeline.Done))
	s.put("j/req-1", nil)
	n.expect("poll", n.poll(1), 200, "done")
	n.expect("all done", n.submit(4, `,"awaits":["req-1"]`), 201, "queued")
	if j := n.jobs.Job("req-4"); !j.Ready || j.ReadyAt != j.SubmittedAt {
		t.Errorf("req-4: got Ready = %t, ReadyAt = %d; want true, %d", j.Ready, j.ReadyAt, j.SubmittedAt)
	}
	n.expect("depends on other jobs", n.submit(5, `,"awaits":["req-2"]`), 201, "queued")
	n.expect("downstream", n.submit(6, `,"awaits":["req-5"]`), 201, "queued")
	n.expect("independent job", n.submit(7, `,"awaits":["req-3"]`), 201, "queued")
	n.expect("cancel", n.cancel(2), 200, "cancelled")
	// Every controller derives the status from the job's ancestors, even before the job
	// has a terminal record of its own.
	for _, m := range []*testController{n, newController(t, s, "n1")} {
		n.expect("downstream of a cancelled job", m.poll(6), 200, "cancelled")
		n.expect("also cancelled by its user", m.cancel(6), 200, "cancelled")
		n.expect("independent job", m.poll(7), 200, "queued")
	}
	n.expect("depends on a cancelled job", n.submit(8, `,"awaits":["req-1","req-6"]`), 201, "cancelled")
	n.expect("poll", n.poll(8), 200, "cancelled")
}

// TestCancelLosesToDone checks that cancelling a job that is already done does not cancel
// its downstream jobs.
func TestCancelLosesToDone(t *testing.T) {
	s := newFakeStore(t)
	n := newController(t, s, "n0")
	n.submit(1, "")
	n.submit(2, `,"awaits":["req-1"]`)
	s.put("f/req-1", terminalRecord(pipeline.Done))
	n.expect("cancel", n.cancel(1), 200, "done")
	n.expect("downstream", n.poll(2), 200, "queued")
	if waiting := n.jobs.Releasable(); len(waiting) != 1 || waiting[0].ID != "req-2" {
		t.Errorf("Releasable returned %d jobs, want only req-2", len(waiting))
	}
}

// TestSubmissionDuringCancellation checks a submission and the cancellation of its
// upstream job on two controllers that do not see each other's writes yet.
func TestSubmissionDuringCancellation(t *testing.T) {
	s := newFakeStore(t)
	n, m := newController(t, s, "n0"), newController(t, s, "n1")
	n.submit(1, "")
	m.poll(1)
	n.expect("cancel", n.cancel(1), 200, "cancelled")
	if r := m.submit(2, `,"awaits":["req-1"]`); r.Status != 201 {
		t.Fatalf("submission got status %d, want 201", r.Status)
	}
	n.expect("on the controller of the submission", m.poll(2), 200, "cancelled")
	n.expect("on the controller of the cancellation", n.poll(2), 200, "cancelled")
}
