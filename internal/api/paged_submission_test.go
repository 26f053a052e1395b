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

// TestPagedSubmission: a list too long for the job's record is stored in pages, and
// the record last, on condition of the first page.
func TestPagedSubmission(t *testing.T) {
	s := newFakeStore(t)
	n := newController(t, s, "n0")
	list := n.upstreamList(1_000_000, 5000)
	n.expect("long list", n.submit(1, list), 201, "queued")
	pages := s.upstreamPages()
	if j := n.jobs.Job("req-1"); len(pages) < 10 || j.UpstreamPages != len(pages) || j.Ready || j.UpstreamCancelled() {
		t.Fatalf("%d pages, record %s", len(pages), s.keys["j/req-1"].data)
	}
	if conditional := countConditional(t, s); conditional < 2 {
		t.Errorf("%d writes on condition of the first page", conditional)
	}
	if s.keys["j/req-1"].modRevision <= s.keys[fmt.Sprintf("u/req-1/%d", len(pages)-1)].modRevision {
		t.Error("the record is not last")
	}
	// Another controller reads it; the last of the list decides.
	m := newController(t, s, "n1")
	m.expect("elsewhere", m.poll(1), 200, "queued")
	s.put("f/req-1004999", terminalRecord(pipeline.Cancelled))
	m.expect("downstream of a cancelled one", m.poll(1), 200, "cancelled")
}

// countConditional counts the transactions that write pages or the record of req-1
// on condition of the first page, and checks that all do but that of the first page.
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
			t.Errorf("not on condition of the first page: %.200s", txn)
		}
	}
	return count
}

// TestInterruptedSubmission: the answer to any write of an attempt may get lost,
// or the write may be executed late. The job is accepted whole or not at all.
func TestInterruptedSubmission(t *testing.T) {
	for _, c := range []struct {
		name        string
		key         string
		delay       bool
		firstAnswer int
	}{
		// The stored first page does not tell whose it is: the user has to come back.
		{"answer to the first page lost", "u/req-1/0", false, 503},
		{"first page late", "u/req-1/0", true, 503},
		// Executed twice, another page changes nothing: it is written again at once.
		{"answer to the second page lost", "u/req-1/1", false, 201},
		{"second page late", "u/req-1/1", true, 201},
		{"answer to the fourth page lost", "u/req-1/3", false, 201},
		{"fourth page late", "u/req-1/3", true, 201},
		{"answer to the record lost", "j/req-1", false, 200},
		{"record late", "j/req-1", true, 201},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newFakeStore(t)
			n := newController(t, s, "n0")
			list := n.upstreamList(1_000_000, 1500)
			interrupted := s.interrupt(c.key, c.delay)
			status := n.submit(1, list).Status
			if status != c.firstAnswer {
				t.Errorf("the first answer is %d", status)
			}
			for retries := 0; status == 503 && retries < 8; retries++ {
				n.run(2 * time.Second)
				status = n.submit(1, list).Status
			}
			if status != 200 && status != 201 {
				t.Fatalf("the last answer is %d", status)
			}
			before := strings.Join(s.upstreamPages(), "")
			s.executeDelayed()
			n.expect("poll", n.poll(1), 200, "queued")
			if !*interrupted || strings.Join(s.upstreamPages(), "") != before {
				t.Error("no write was interrupted, or a late one has changed the list")
			}
			expectWholeList(t, s, "req-1001499")
		})
	}
}

// expectWholeList checks that another controller knows the last job of req-1's list:
// when that one is cancelled, req-1 is.
func expectWholeList(t *testing.T, s *fakeStore, last string) {
	t.Helper()
	m := newController(t, s, "n1")
	m.poll(1)
	s.put("f/"+last, terminalRecord(pipeline.Cancelled))
	m.expect("elsewhere", m.poll(1), 200, "cancelled")
}

// TestRepeatAtOnce: a repeat that comes before anything is stored gets 503.
func TestRepeatAtOnce(t *testing.T) {
	s := newFakeStore(t)
	n := newController(t, s, "n0")
	list := n.upstreamList(1_000_000, 1500)
	r := event.Request{Method: "POST", Path: "/submissions", Body: []byte(body(1, list))}
	for r.Conn = 1001; r.Conn <= 1002; r.Conn++ {
		n.server.Handle(n.now, r, &n.out)
	}
	n.run(2 * time.Second)
	n.expect("first", n.replies[1001], 201, "queued")
	n.expect("repeat", n.replies[1002], 503, "")
}

// TestConcurrentSubmissions: two controllers get the same long submission. There is one
// attempt at a time, and one that was left unfinished is replaced, even by one
// with another list.
func TestConcurrentSubmissions(t *testing.T) {
	s := newFakeStore(t)
	n, m := newController(t, s, "n0"), newController(t, s, "n1")
	list := n.upstreamList(1_000_000, 1500)
	m.poll(1_000_000)
	s.delay = func(txn string) bool { return writes(txn, "u/req-1/1") }
	first := n.start("POST", "/submissions", body(1, list))
	n.run(100 * time.Millisecond)
	n.expect("same controller", n.submit(1, list), 503, "")
	m.poll(1) // shows it the first page
	m.expect("other controller", m.submit(1, list), 503, "")
	if r := n.replies[first]; r.Status != 503 {
		t.Errorf("the first gets %d", r.Status)
	}
	s.delay = nil
	m.run(10 * time.Second)
	other := m.upstreamList(2_000_000, 1400)
	m.expect("when it is old", m.submit(1, other), 201, "queued")
	want := strings.Join(s.upstreamPages(), "")
	s.executeDelayed() // the writes of the first attempt
	n.run(15 * time.Second)
	if got := strings.Join(s.upstreamPages(), ""); got != want || !bytes.Contains([]byte(got), []byte("2000000")) {
		t.Error("two attempts are mixed")
	}
	n.expect("retry", n.submit(1, list), 200, "queued")
}
