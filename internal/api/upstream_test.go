package api

import (
	"strings"
	"testing"

	"lugward/internal/pipeline"
)

// TestUpstreamLists: lists of upstream jobs, well-formed and not, and repeats.
func TestUpstreamLists(t *testing.T) {
	s := newFakeStore(t)
	n := newController(t, s, "n0")
	n.expect("no list", n.submit(1, ``), 201, "queued")
	n.expect("null", n.submit(2, `,"awaits":null`), 201, "queued")
	n.expect("empty", n.submit(3, `,"awaits":[]`), 201, "queued")
	for _, id := range []string{"req-1", "req-2", "req-3"} {
		if !n.jobs.Job(id).Ready {
			t.Errorf("%s is not ready", id)
		}
	}
	for _, bad := range []string{`"req-1"`, `5`, `{}`, `[1]`, `[null]`, `["x"]`, `["req-"]`, `["req-1 "]`, `true`} {
		n.expect(bad, n.submit(4, `,"awaits":`+bad), 400, "")
	}
	n.expect("itself", n.submit(4, `,"awaits":["req-4"]`), 422, "")
	n.expect("unknown", n.submit(4, `,"awaits":["req-1","req-99"]`), 422, "")
	n.expect("waiting for others", n.submit(4, `,"awaits":["req-1","req-2","req-1"]`), 201, "queued")
	if j := n.jobs.Job("req-4"); j.Ready || strings.Join(j.Upstream, " ") != "req-1 req-2" || j.SubmittedAt == 0 {
		t.Errorf("ready %v, upstream %v, at %d", j.Ready, j.Upstream, j.SubmittedAt)
	}
	// A retry is found before it is judged.
	for _, list := range []string{`["req-99"]`, `["req-4"]`, `[]`, `7`} {
		n.expect("retry "+list, n.submit(4, `,"awaits":`+list), 200, "queued")
	}
	// So it is on another controller, and when the job is over.
	m := newController(t, s, "n1")
	n.expect("retry elsewhere", m.submit(4, `,"awaits":["req-99"]`), 200, "queued")
	s.put("f/req-4", terminalRecord(pipeline.Cancelled))
	n.expect("retry when over", newController(t, s, "n2").submit(4, `,"awaits":7`), 200, "cancelled")
}

// TestUpstreamDaemon: a daemon never ends, so no job may depend on it.
func TestUpstreamDaemon(t *testing.T) {
	s := newFakeStore(t)
	n := newController(t, s, "n0")
	daemon := strings.Replace(body(1, ""), "array", "daemon", 1)
	n.expect("daemon", n.send("POST", "/submissions", daemon), 201, "queued")
	n.expect("downstream of it", n.submit(2, `,"awaits":["req-1"]`), 422, "")
	n.expect("cancel", n.cancel(1), 200, "cancelled")
	s.put("j/req-1", nil)
	n.expect("downstream of one that has ended", n.submit(2, `,"awaits":["req-1"]`), 422, "")
}

// TestUpstreamNotSeenYet: what the watch cache does not show may have been accepted
// elsewhere a moment ago. Only a barrier tells; without one there is no 400 or 422.
func TestUpstreamNotSeenYet(t *testing.T) {
	s := newFakeStore(t)
	n, m := newController(t, s, "n0"), newController(t, s, "n1")
	n.expect("upstream", n.submit(1, ""), 201, "queued")
	s.down = true
	n.expect("accepted, in an outage", m.submit(2, `,"awaits":["req-1"]`), 503, "")
	n.expect("unknown, in an outage", m.submit(2, `,"awaits":["req-9"]`), 503, "")
	n.expect("malformed, in an outage", m.submit(2, `,"awaits":["x"]`), 503, "")
	s.down = false
	o := newController(t, s, "n2")
	n.submit(3, "") // o has not seen its record
	if o.jobs.Job("req-3") != nil {
		t.Fatal("the watch cache is not behind")
	}
	n.expect("behind", o.submit(2, `,"awaits":["req-1","req-3"]`), 201, "queued")
	n.expect("not there", o.submit(4, `,"awaits":["req-5"]`), 422, "")
}

// TestUpstreamEnded: upstream jobs that have ended, done or cancelled.
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
		t.Errorf("ready %v", j.Ready)
	}
	n.expect("waiting for others", n.submit(5, `,"awaits":["req-2"]`), 201, "queued")
	n.expect("downstream", n.submit(6, `,"awaits":["req-5"]`), 201, "queued")
	n.expect("beside", n.submit(7, `,"awaits":["req-3"]`), 201, "queued")
	n.expect("cancel", n.cancel(2), 200, "cancelled")
	// Judged by its ancestors on every controller, before any terminal record of its own.
	for _, m := range []*testController{n, newController(t, s, "n1")} {
		n.expect("downstream of a cancelled one", m.poll(6), 200, "cancelled")
		n.expect("cancelled by its user, too", m.cancel(6), 200, "cancelled")
		n.expect("beside it", m.poll(7), 200, "queued")
	}
	n.expect("names a cancelled one", n.submit(8, `,"awaits":["req-1","req-6"]`), 201, "cancelled")
	n.expect("poll", n.poll(8), 200, "cancelled")
}

// TestCancelLosesToDone: a cancellation that comes after done does not cancel the
// downstream jobs.
func TestCancelLosesToDone(t *testing.T) {
	s := newFakeStore(t)
	n := newController(t, s, "n0")
	n.submit(1, "")
	n.submit(2, `,"awaits":["req-1"]`)
	s.put("f/req-1", terminalRecord(pipeline.Done))
	n.expect("cancel", n.cancel(1), 200, "done")
	n.expect("downstream", n.poll(2), 200, "queued")
	if waiting := n.jobs.Releasable(); len(waiting) != 1 || waiting[0].ID != "req-2" {
		t.Errorf("%d to be marked ready", len(waiting))
	}
}

// TestSubmissionMeetsCancellation: a submission and the cancellation of its
// upstream job go through two controllers that do not see each other's writes yet.
func TestSubmissionMeetsCancellation(t *testing.T) {
	s := newFakeStore(t)
	n, m := newController(t, s, "n0"), newController(t, s, "n1")
	n.submit(1, "")
	m.poll(1)
	n.expect("cancel", n.cancel(1), 200, "cancelled")
	if r := m.submit(2, `,"awaits":["req-1"]`); r.Status != 201 {
		t.Fatalf("%d", r.Status)
	}
	n.expect("on the controller of the submission", m.poll(2), 200, "cancelled")
	n.expect("on the controller of the cancellation", n.poll(2), 200, "cancelled")
}
