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
	if j := n.jobs.Job("req-1"); len(parts) < 10 || j.UpstreamParts != len(parts) || j.Ready || j.UpstreamCancelled() {
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

// TestInterruptedSubmissions: the answer to any write of an attempt may get lost,
// or the write may be executed late. The job is accepted whole or not at all.
func TestInterruptedSubmissions(t *testing.T) {
	for _, key := range []string{"u/req-1/0", "u/req-1/1", "u/req-1/3", "j/req-1"} {
		for _, late := range []bool{false, true} {
			s := newService(t)
			n := newNode(t, s, "n0")
			list := n.upstreamList(1_000_000, 1500)
			once := true
			hit := func(body string) bool {
				if once && strings.Contains(body, `"write":"`+key+`"`) {
					once = false
					return true
				}
				return false
			}
			if late {
				s.delay = hit
			} else {
				s.loseAnswer = hit
			}
			status := n.submit(1, list).Status
			// Carried out twice a part changes nothing: it is written again at once.
			if want := map[string]int{"u/req-1/0": 503, "j/req-1": map[bool]int{true: 201, false: 200}[late]}[key]; want != status && (want != 0 || status != 201) {
				t.Errorf("%s, late %v: the first answer is %d", key, late, status)
			}
			for range 8 {
				if status == 201 || status == 200 {
					break
				}
				if status != 503 {
					t.Fatalf("%s: %d", key, status)
				}
				n.run(2 * time.Second)
				status = n.submit(1, list).Status
			}
			before := strings.Join(s.parts(1), "")
			s.executeDelayed()
			n.expect(key, n.send("GET", "/submissions/req-1", ""), 200, "queued")
			if once || strings.Join(s.parts(1), "") != before {
				t.Errorf("%s, late %v: a late write has changed the list", key, late)
			}
			m := newNode(t, s, "n1")
			m.send("GET", "/submissions/req-1", "")
			s.put("f/req-1001499", final(pipeline.Cancelled, pipeline.Array))
			n.expect(key+" elsewhere", m.send("GET", "/submissions/req-1", ""), 200, "cancelled")
		}
	}
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
