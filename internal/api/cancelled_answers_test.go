package api

import (
	"testing"
	"time"

	"lugward/internal/event"
	"lugward/internal/pipeline"
)

// TestCancelledAnswersWaitForStarts guards against telling a user that a job is cancelled while a
// leader may still command the start of its tasks.
func TestCancelledAnswersWaitForStarts(t *testing.T) {
	s := newFakeStore(t)
	n := newController(t, s, "n0")
	n.expect("submission", n.submit(1, ""), 201, "queued")
	n.startViews.behind = true
	requests := []struct {
		what string
		conn uint64
	}{
		{"cancellation", n.start("POST", "/submissions/req-1/cancel", "")},
		{"repeated cancellation", n.start("POST", "/submissions/req-1/cancel", "")},
		{"poll", n.start("GET", "/submissions/req-1", "")},
		{"repeated submission", n.start("POST", "/submissions", body(1, ""))},
	}
	n.run(10 * time.Second)
	for _, request := range requests {
		if r, ok := n.replies[request.conn]; ok {
			t.Errorf("%s got status %d, body %s while a task may still be started; want no reply yet", request.what, r.Status, r.Body)
		}
	}
	n.startViews.behind = false
	n.run(50 * time.Millisecond)
	for _, request := range requests {
		n.expect(request.what, n.replies[request.conn], 200, "cancelled")
	}
	n.startViews.behind = true
	n.expect("poll after the confirmation", n.poll(1), 200, "cancelled")
}

// TestCancelledAnswersWaitAfterScan checks that a controller that has just read all keys holds
// back its answers as well: another controller may have cancelled the job a moment ago.
func TestCancelledAnswersWaitAfterScan(t *testing.T) {
	s := newFakeStore(t)
	s.put("f/req-1", terminalRecord(pipeline.Cancelled))
	s.put("f/req-2", terminalRecord(pipeline.Done))
	s.unavailable = true // the keys are read once the leader is behind
	n := newController(t, s, "n0")
	n.startViews.behind = true
	s.unavailable = false
	n.run(time.Second)
	if kept := len(n.server.cancelled.unconfirmed); kept != 0 {
		t.Errorf("%d cancellations of the scan are kept one by one, want none, as there may be very many", kept)
	}
	n.server.RecordCancellation("req-3", 1, n.now) // a change after the scan does not replace what the scan has read
	cancelled := n.start("GET", "/submissions/req-1", "")
	done := n.start("GET", "/submissions/req-2", "")
	n.run(time.Second)
	if r, ok := n.replies[cancelled]; ok {
		t.Errorf("poll of a cancelled job got status %d while a task may still be started; want no reply yet", r.Status)
	}
	n.expect("poll of a job that is done", n.replies[done], 200, "done")
	n.startViews.behind = false
	n.run(50 * time.Millisecond)
	n.expect("poll of a cancelled job", n.replies[cancelled], 200, "cancelled")
}

// TestConfirmedCancellationsAreForgotten checks that the state that is kept for cancellations does
// not grow with their number.
func TestConfirmedCancellationsAreForgotten(t *testing.T) {
	n := newController(t, newFakeStore(t), "n0")
	n.startViews.behind = true
	for _, id := range []string{"req-1", "req-2", "req-3"} {
		n.server.RecordCancellation(id, 7, n.now)
	}
	n.startViews.behind = false
	n.server.Tick(n.now, &n.out)
	if left := len(n.server.cancelled.unconfirmed); left != 0 {
		t.Errorf("%d cancellations are kept after the confirmation, want 0", left)
	}
}

// TestRepliesAfterCommitBeforeCancellation checks that a submission that commits while its job
// is cancelled at another controller is not answered before the cancellation is confirmed.
func TestRepliesAfterCommitBeforeCancellation(t *testing.T) {
	s := newFakeStore(t)
	n := newController(t, s, "n0")
	n.startViews.behind = true
	s.put("f/req-1", terminalRecord(pipeline.Cancelled))
	n.client.Barrier(func(event.Time, error, *event.Effects) {})
	n.run(time.Second)
	if _, ok := n.server.cancelled.unconfirmed["req-1"]; !ok {
		t.Fatal("the cancellation by another controller is not recorded")
	}
	n.server.replyAccepted(n.now, 99, "req-1", &n.out)
	n.applyEffects()
	if r, ok := n.replies[99]; ok {
		t.Errorf("submission got status %d, body %s; want no reply yet", r.Status, r.Body)
	}
	n.startViews.behind = false
	n.run(50 * time.Millisecond)
	n.expect("submission", n.replies[99], 201, "cancelled")
}

var _ StartViews = &fakeStartViews{}
