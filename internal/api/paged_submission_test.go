package api

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"lugward/internal/event"
	"lugward/internal/pipeline"
)

// TestPagedSubmission checks that an upstream list that does not fit in the job's record
// is written in pages, and that the record is written last, on condition of the revision
// of the first page.
func TestPagedSubmission(t *testing.T) {
	s := newFakeStore(t)
	n := newController(t, s, "n0")
	list := n.createUpstreamJobs(1_000_000, 5000)
	n.expect("long list", n.submit(1, list), 201, "queued")
	pages := s.upstreamPages()
	if j := n.jobs.Job("req-1"); len(pages) < 10 || j.UpstreamPages != len(pages) || j.Ready || j.UpstreamCancelled() {
		t.Fatalf("got %d upstream pages and job record %s, want at least 10 pages and a job that is not ready and lists them all", len(pages), s.keys["j/req-1"].data)
	}
	if conditional := countConditional(t, s); conditional < 2 {
		t.Errorf("%d writes are conditional on the first page, want at least 2", conditional)
	}
	if s.keys["j/req-1"].modRevision <= s.keys[fmt.Sprintf("u/req-1/%d", len(pages)-1)].modRevision {
		t.Error("the job record was written before the last page, want after it")
	}
	// Another controller reads the whole list: cancelling its last job cancels req-1.
	m := newController(t, s, "n1")
	m.expect("poll on other controller", m.poll(1), 200, "queued")
	s.put("f/req-1004999", terminalRecord(pipeline.Cancelled))
	m.expect("downstream of a cancelled job", m.poll(1), 200, "cancelled")
}

// countConditional returns the number of transactions that write pages or the record of
// req-1 on condition of the first page's revision. It checks that all of them have this
// condition, except the write of the first page itself.
func countConditional(t *testing.T, s *fakeStore) int {
	t.Helper()
	condition := fmt.Sprintf(`{"key":"u/req-1/0","stamp":%d}`, s.keys["u/req-1/0"].modRevision)
	count := 0
	for _, txn := range s.txns {
		if !strings.Contains(txn, `"write":"u/req-1/`) && !writes(txn, "j/req-1") {
			continue
		}
		if strings.Contains(txn, condition) {
			count++
		} else if !writes(txn, "u/req-1/0") {
			t.Errorf("write without the condition on the first page: %.200s", txn)
		}
	}
	return count
}

// TestInterruptedSubmission guards against a job that is accepted with an incomplete or
// changed upstream list. The response to any write of an attempt may be lost, or the
// write may be executed late.
func TestInterruptedSubmission(t *testing.T) {
	for _, c := range []struct {
		name            string
		key             string
		delay           bool
		wantFirstStatus int
	}{
		// The stored first page does not identify its attempt, so the user must retry.
		{"response to the first page lost", "u/req-1/0", false, 503},
		{"first page executed late", "u/req-1/0", true, 503},
		// Writes of other pages are idempotent, so they are retried immediately.
		{"response to the second page lost", "u/req-1/1", false, 201},
		{"second page executed late", "u/req-1/1", true, 201},
		{"response to the fourth page lost", "u/req-1/3", false, 201},
		{"fourth page executed late", "u/req-1/3", true, 201},
		{"response to the record lost", "j/req-1", false, 200},
		{"record executed late", "j/req-1", true, 201},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newFakeStore(t)
			n := newController(t, s, "n0")
			list := n.createUpstreamJobs(1_000_000, 1500)
			interrupted := s.interrupt(c.key, c.delay)
			status := n.submit(1, list).Status
			if status != c.wantFirstStatus {
				t.Errorf("first reply has status %d, want %d", status, c.wantFirstStatus)
			}
			for retries := 0; status == 503 && retries < 8; retries++ {
				n.run(2 * time.Second)
				status = n.submit(1, list).Status
			}
			if status != 200 && status != 201 {
				t.Fatalf("last reply has status %d, want 200 or 201", status)
			}
			before := strings.Join(s.upstreamPages(), "")
			s.executeDelayed()
			n.expect("poll", n.poll(1), 200, "queued")
			if !*interrupted || strings.Join(s.upstreamPages(), "") != before {
				t.Error("no write was interrupted, or a late write changed the upstream list")
			}
			expectCompleteList(t, s, "req-1001499")
		})
	}
}

// expectCompleteList checks that another controller knows the last job in the upstream
// list of req-1: cancelling that job cancels req-1.
func expectCompleteList(t *testing.T, s *fakeStore, last string) {
	t.Helper()
	m := newController(t, s, "n1")
	m.poll(1)
	s.put("f/"+last, terminalRecord(pipeline.Cancelled))
	m.expect("poll on other controller", m.poll(1), 200, "cancelled")
}

// TestRepeatAtOnce checks that a repeated submission gets 503 while the first one has not
// written anything yet.
func TestRepeatAtOnce(t *testing.T) {
	s := newFakeStore(t)
	n := newController(t, s, "n0")
	list := n.createUpstreamJobs(1_000_000, 1500)
	r := event.Request{Method: "POST", Path: "/submissions", Body: []byte(body(1, list))}
	for r.Conn = 1001; r.Conn <= 1002; r.Conn++ {
		n.server.Handle(n.now, r, &n.out)
	}
	n.run(2 * time.Second)
	n.expect("first", n.replies[1001], 201, "queued")
	n.expect("repeat", n.replies[1002], 503, "")
}

// TestConcurrentSubmissions guards against mixing the pages of two attempts when two
// controllers get the same paged submission. Only one attempt is active at a time. An
// unfinished attempt is replaced after its timeout, even by one with a different list.
func TestConcurrentSubmissions(t *testing.T) {
	s := newFakeStore(t)
	n, m := newController(t, s, "n0"), newController(t, s, "n1")
	list := n.createUpstreamJobs(1_000_000, 1500)
	m.poll(1_000_000)
	s.delay = func(txn string) bool { return writes(txn, "u/req-1/1") }
	first := n.start("POST", "/submissions", body(1, list))
	n.run(100 * time.Millisecond)
	n.expect("same controller", n.submit(1, list), 503, "")
	m.poll(1) // the barrier makes the first page visible to m
	m.expect("other controller", m.submit(1, list), 503, "")
	if r := n.replies[first]; r.Status != 503 {
		t.Errorf("first submission got status %d, want 503", r.Status)
	}
	s.delay = nil
	m.run(10 * time.Second)
	other := m.createUpstreamJobs(2_000_000, 1400)
	m.expect("after the attempt timed out", m.submit(1, other), 201, "queued")
	want := strings.Join(s.upstreamPages(), "")
	s.executeDelayed() // executes the writes of the first attempt
	n.run(15 * time.Second)
	if got := strings.Join(s.upstreamPages(), ""); got != want || !bytes.Contains([]byte(got), []byte("2000000")) {
		t.Error("stored pages contain writes of the first attempt, want only those of the second")
	}
	n.expect("retry", n.submit(1, list), 200, "queued")
}

// TestLateResultOfEndedAttempt guards against a late result of an attempt that has ended
// being taken for the result of a newer attempt for the same job, whose user then got no
// reply.
func TestLateResultOfEndedAttempt(t *testing.T) {
	s := newFakeStore(t)
	n := newController(t, s, "n0")
	list := n.createUpstreamJobs(1_000_000, 1500)
	// The write of the first page is repeated until shortly before its timeout.
	s.overLimit = func(txn string) bool { return writes(txn, "u/req-1/0") }
	first := n.start("POST", "/submissions", body(1, list))
	n.run(pagedSubmissionTimeout - 500*time.Millisecond)
	s.overLimit = nil
	s.hold = func(txn string) bool { return len(s.heldCalls) == 0 && writes(txn, "u/req-1/0") }
	n.run(time.Second)
	if len(s.heldCalls) != 1 || n.replies[first].Status != 503 {
		t.Fatalf("%d writes of the first page are in flight, first submission got status %d; want 1, 503", len(s.heldCalls), n.replies[first].Status)
	}
	second := n.start("POST", "/submissions", body(1, list))
	n.client.HandleCallResult(n.now, event.CallResult{ID: s.heldCalls[0], Status: event.NoResponse}, &n.out)
	n.run(2 * time.Second)
	n.expect("submission after the first attempt ended", n.replies[second], 201, "queued")
}
