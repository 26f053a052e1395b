package store

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"lugward/internal/step"
)

// service lets a test answer the client's calls in any order.
type service struct {
	c    *Client
	out  step.Out
	held map[string]string // what the listener was told last, by key
}

func newService(t *testing.T, items string, epoch int) *service {
	t.Helper()
	s := &service{held: map[string]string{}}
	s.c = New("state", Limits{TxnOps: 12, RPS: 100, WriteRPS: 60, StaleAfter: time.Hour}, func(key string, data []byte, _ uint64) {
		s.held[key] = string(data)
	})
	s.c.Tick(0, &s.out)
	s.answer(time.Second, s.take(t, "GET", "/keys"), 200, fmt.Sprintf(`{"items":[%s],"epoch":%d}`, items, epoch))
	if !s.c.Synced() {
		t.Fatal("the replica is not complete")
	}
	return s
}

// take removes and returns the call to a path.
func (s *service) take(t *testing.T, method, path string) step.Call {
	t.Helper()
	for i, c := range s.out.Calls {
		if c.Method == method && len(c.Path) >= len(path) && c.Path[:len(path)] == path {
			s.out.Calls = append(s.out.Calls[:i:i], s.out.Calls[i+1:]...)
			return c
		}
	}
	t.Fatalf("no %s %s among %d calls", method, path, len(s.out.Calls))
	return step.Call{}
}

func (s *service) answer(now step.Time, c step.Call, status int, body string) {
	s.c.CallDone(now, step.CallDone{ID: c.ID, Status: status, Body: json.RawMessage(body)}, &s.out)
}

// An answer to a watch that was held up while a barrier's overtook it tells of
// keys that were dropped since: they must not come back.
func TestOvertakenAnswer(t *testing.T) {
	s := newService(t, `{"key":"j/req-1","data":{"n":1},"stamp":3}`, 5)
	watch := s.take(t, "GET", "/follow")
	s.c.Barrier(func(step.Time, bool, *step.Out) {})
	s.c.Tick(2*time.Second, &s.out)
	barrier := s.take(t, "GET", "/follow")
	s.answer(3*time.Second, barrier, 200, `{"epoch":9,"log":[{"write":"j/req-1","data":{"n":2},"stamp":7},{"drop":"j/req-1","stamp":9}]}`)
	s.answer(4*time.Second, watch, 200, `{"epoch":7,"log":[{"write":"j/req-1","data":{"n":2},"stamp":7}]}`)
	if got := s.held["j/req-1"]; got != "" || s.c.Stamp("j/req-1") != 0 {
		t.Errorf("a dropped key is back: %s, stamp %d", got, s.c.Stamp("j/req-1"))
	}
	if s.c.Epoch() != 9 {
		t.Errorf("the replica is at %d", s.c.Epoch())
	}
}

// The same with the answer to a write of ours that others dropped meanwhile.
func TestOvertakenCommit(t *testing.T) {
	s := newService(t, "", 5)
	watch := s.take(t, "GET", "/follow")
	outcome := Refused
	s.c.Submit(&Intent{Priority: Accept, Conds: []Cond{{Key: "j/req-1"}}, Writes: []Write{{Key: "j/req-1", Data: []byte(`{"n":1}`)}},
		Done: func(r Result) { outcome = r.Outcome }}, time.Minute)
	s.c.Tick(2*time.Second, &s.out)
	commit := s.take(t, "POST", "/commit")
	s.answer(3*time.Second, watch, 200, `{"epoch":8,"log":[{"write":"j/req-1","data":{"n":1},"stamp":6},{"drop":"j/req-1","stamp":8}]}`)
	s.answer(3*time.Second+time.Millisecond, commit, 200, `{"epoch":6}`)
	if outcome != OK || s.held["j/req-1"] != "" || s.c.Stamp("j/req-1") != 0 {
		t.Errorf("outcome %v, the dropped key shows %q", outcome, s.held["j/req-1"])
	}
}

// A write of ours shows at once, before the log brings it.
func TestOwnWriteShowsAtOnce(t *testing.T) {
	s := newService(t, "", 5)
	s.c.Submit(&Intent{Priority: Accept, Writes: []Write{{Key: "f/req-1", Data: []byte(`{}`)}}, Done: func(Result) {}}, time.Minute)
	s.c.Tick(2*time.Second, &s.out)
	s.answer(3*time.Second, s.take(t, "POST", "/commit"), 200, `{"epoch":6}`)
	if s.c.Stamp("f/req-1") != 6 || s.c.Epoch() != 5 {
		t.Errorf("stamp %d at %d", s.c.Stamp("f/req-1"), s.c.Epoch())
	}
}
