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

// TestLongList: a list too long for the job's record is stored in parts, and the
// record last, on condition of part 0.
func TestLongList(t *testing.T) {
	s := newService(t)
	n := newNode(t, s, "n0")
	list := n.upstreamList(1_000_000, 5000)
	r := n.submit(1, list)
	n.expect("long list", r, 201, "queued")
	parts := s.parts(1)
	if j := n.jobs.Job("req-1"); len(parts) < 10 || j.UpstreamPages != len(parts) || j.Ready || j.UpstreamCancelled() {
		t.Fatalf("%d parts, record %s", len(parts), s.keys["j/req-1"].data)
	}
	// The record came last, on condition of part 0; so did the other parts.
	version := s.keys["u/req-1/0"].version
	guard := fmt.Sprintf(`{"key":"u/req-1/0","stamp":%d}`, version)
	guarded := 0
	for _, c := range s.commits {
		if strings.Contains(c, `"write":"u/req-1/`) || strings.Contains(c, `"write":"j/req-1"`) {
			if strings.Contains(c, guard) {
				guarded++
			} else if !strings.Contains(c, `"write":"u/req-1/0"`) {
				t.Errorf("not guarded: %.200s", c)
			}
		}
	}
	if guarded < 2 || s.keys["j/req-1"].version <= s.keys[fmt.Sprintf("u/req-1/%d", len(parts)-1)].version {
		t.Error("the record is not last")
	}
	// Another node reads it; the last of the list decides.
	m := newNode(t, s, "n1")
	n.expect("elsewhere", m.send("GET", "/submissions/req-1", ""), 200, "queued")
	s.put("f/req-1004999", final(pipeline.Cancelled, pipeline.Array))
	n.expect("below a cancelled one", m.send("GET", "/submissions/req-1", ""), 200, "cancelled")
}

// interrupt makes the service lose the answer to the first write of a key, or
// delay that write. It returns whether that has happened.
func (s *service) interrupt(key string, delay bool) *bool {
	interrupted := new(bool)
	first := func(body string) bool {
		if *interrupted || !strings.Contains(body, `"write":"`+key+`"`) {
			return false
		}
		*interrupted = true
		return true
	}
	if delay {
		s.delay = first
	} else {
		s.loseAnswer = first
	}
	return interrupted
}

// TestInterruptedSubmissions: the answer to any write of an attempt may get lost,
// or the write may be executed late. The job is accepted whole or not at all.
func TestInterruptedSubmissions(t *testing.T) {
	for _, c := range []struct {
		key         string
		delay       bool
		firstAnswer int
	}{
		// The stored part 0 does not tell whose it is: the user has to come back.
		{"u/req-1/0", false, 503},
		{"u/req-1/0", true, 503},
		// Executed twice, another part changes nothing: it is written again at once.
		{"u/req-1/1", false, 201},
		{"u/req-1/1", true, 201},
		{"u/req-1/3", false, 201},
		{"u/req-1/3", true, 201},
		{"j/req-1", false, 200},
		{"j/req-1", true, 201},
	} {
		t.Run(fmt.Sprintf("%s delay %v", c.key, c.delay), func(t *testing.T) {
			s := newService(t)
			n := newNode(t, s, "n0")
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
			before := strings.Join(s.parts(1), "")
			s.executeDelayed()
			n.expect("poll", n.send("GET", "/submissions/req-1", ""), 200, "queued")
			if !*interrupted || strings.Join(s.parts(1), "") != before {
				t.Error("no write was interrupted, or a late one has changed the list")
			}
			expectWholeList(t, s, "req-1001499")
		})
	}
}

// expectWholeList checks that another node knows the last job of req-1's list:
// when that one is cancelled, req-1 is.
func expectWholeList(t *testing.T, s *service, last string) {
	t.Helper()
	m := newNode(t, s, "n1")
	m.send("GET", "/submissions/req-1", "")
	s.put("f/"+last, final(pipeline.Cancelled, pipeline.Array))
	m.expect("elsewhere", m.send("GET", "/submissions/req-1", ""), 200, "cancelled")
}

// TestRepeatAtOnce: a repeat that comes before anything is stored gets 503.
func TestRepeatAtOnce(t *testing.T) {
	s := newService(t)
	n := newNode(t, s, "n0")
	list := n.upstreamList(1_000_000, 1500)
	r := event.Request{Method: "POST", Path: "/submissions", Body: []byte(body(1, list))}
	for r.Conn = 1001; r.Conn <= 1002; r.Conn++ {
		n.server.Handle(n.now, r, &n.out)
	}
	n.run(2 * time.Second)
	n.expect("first", n.replies[1001], 201, "queued")
	n.expect("repeat", n.replies[1002], 503, "")
}

// TestRivalSubmissions: two nodes get the same long submission. There is one
// attempt at a time, and one that was left unfinished is replaced, even by one
// with another list.
func TestRivalSubmissions(t *testing.T) {
	s := newService(t)
	n, m := newNode(t, s, "n0"), newNode(t, s, "n1")
	list := n.upstreamList(1_000_000, 1500)
	m.send("GET", "/submissions/req-1000000", "")
	s.delay = func(body string) bool { return strings.Contains(body, `"write":"u/req-1/1"`) }
	first := n.ask("POST", "/submissions", body(1, list))
	n.run(100 * time.Millisecond)
	n.expect("same node", n.send("POST", "/submissions", body(1, list)), 503, "")
	m.send("GET", "/submissions/req-1", "") // it sees part 0
	n.expect("other node", m.submit(1, list), 503, "")
	if r := n.replies[first]; r.Status != 503 {
		t.Errorf("the first gets %d", r.Status)
	}
	s.delay = nil
	m.run(10 * time.Second)
	other := m.upstreamList(2_000_000, 1400)
	n.expect("when it is old", m.submit(1, other), 201, "queued")
	want := strings.Join(s.parts(1), "")
	s.executeDelayed() // the writes of the first attempt
	n.run(15 * time.Second)
	if got := strings.Join(s.parts(1), ""); got != want || !bytes.Contains([]byte(got), []byte("2000000")) {
		t.Error("two attempts are mixed")
	}
	n.expect("retry", n.submit(1, list), 200, "queued")
}
