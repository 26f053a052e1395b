package simtest

import (
	"encoding/json"
	"io"
	"testing"
	"time"

	"lugward/internal/event"
)

// machineWith returns a machine that runs one task of an array, its lease just
// renewed, in a world whose only controller does nothing.
func machineWith(run time.Duration) (*World, *worker) {
	w := New(1, 1, io.Discard)
	w.nodes[0].kill()
	w.Body(Args{"id": "req-000001", "run": run.String(), "image": "0s"})
	k := newWorker(w, "i-a", "i-a", "small", "a", false)
	k.execute([]order{{Verb: "start", Task: "req-000001/0", Attempt: 1}})
	w.Run(100 * time.Millisecond)
	return w, k
}

// A hang inside the lease lets the tasks go on where they stood.
func TestHangInsideLease(t *testing.T) {
	w, k := machineWith(8 * time.Second)
	w.Run(2 * time.Second)
	k.leaseFrom = w.now
	k.hang(9 * time.Second)
	w.Run(8 * time.Second)
	if x := k.tasks["req-000001/0"]; x == nil || x.phase != "running" {
		t.Fatalf("before it goes on: %+v", x)
	}
	w.Run(2 * time.Second)
	if x := k.tasks["req-000001/0"]; x == nil || x.phase != "running" || k.session != 1 {
		t.Fatalf("after it went on: %+v, session %d", x, k.session)
	}
	k.leaseFrom = w.now
	w.Run(5 * time.Second)
	if x := k.tasks["req-000001/0"]; x == nil || x.cause != "done" {
		t.Fatalf("at last: %+v", x)
	}
}

// A machine that goes on later than its lease kills its tasks before it does
// anything else: what waited for it finds the next session.
func TestHangBeyondLease(t *testing.T) {
	w, k := machineWith(60 * time.Second)
	k.leaseFrom = w.now
	k.hang(11 * time.Second)
	status := 0
	k.serve("/do", []byte(`{"fence":7,"tenure":1,"orders":[{"verb":"start","shard":"req-000001/0","try":2}]}`), func(s int, _ any) { status = s })
	w.Run(10500 * time.Millisecond)
	if status != 0 || !k.certainlyLost() || len(w.check.onMachines()) != 0 {
		t.Fatalf("while it hangs: %d, certainly lost %v", status, k.certainlyLost())
	}
	w.Run(time.Second)
	if status != 409 || len(k.tasks) != 0 || k.session != 2 {
		t.Fatalf("after it went on: %d, %d tasks, session %d", status, len(k.tasks), k.session)
	}
}

// The lease counts from the sending of the last answered report, and what comes
// later than the worker waits is dropped, be it that the machine hung.
func TestLateAnswerRenewsNothing(t *testing.T) {
	for _, c := range []struct {
		hang    time.Duration
		renewed bool
	}{{3 * time.Second, true}, {5 * time.Second, false}} {
		w, k := machineWith(60 * time.Second)
		w.Run(time.Second)
		before := k.leaseFrom
		k.inflight = false
		n := w.nodes[0]
		n.up, n.paused, n.conns = true, true, map[uint64]func(int, []byte){} // it takes the report and says nothing
		k.report()
		sent := k.lastSent
		w.Run(10 * time.Millisecond)
		k.hang(c.hang)
		body, _ := json.Marshal(reportAnswer{FencingToken: 7})
		for _, answer := range n.conns {
			answer(200, body)
		}
		n.up = false
		w.Run(c.hang + 100*time.Millisecond)
		if want := map[bool]time.Duration{true: sent, false: before}[c.renewed]; k.leaseFrom != want {
			t.Errorf("a hang of %s: lease from %s, not %s", c.hang, k.leaseFrom, want)
		}
	}
}

// A gang whose machine hangs ends where it executes, and there when it goes on.
func TestHangEndsGang(t *testing.T) {
	w := New(1, 1, io.Discard)
	w.nodes[0].kill()
	w.Body(Args{"id": "req-000001", "shape": "gang", "tasks": "2", "run": "60s", "image": "0s"})
	var list []*worker
	for i, name := range []string{"i-a", "i-b"} {
		k := newWorker(w, name, name, "small", "a", false)
		k.execute([]order{{Verb: "start", Task: "req-000001/" + string(rune('0'+i)), Attempt: 1}})
		list = append(list, k)
	}
	w.Run(time.Second)
	list[0].hang(4 * time.Second)
	w.Run(3 * time.Second)
	if x, y := list[0].tasks["req-000001/0"], list[1].tasks["req-000001/1"]; x.phase != "running" || y.cause != "peers" {
		t.Fatalf("while it hangs: %+v, %+v", x, y)
	}
	w.Run(2 * time.Second)
	if x := list[0].tasks["req-000001/0"]; x.cause != "peers" {
		t.Fatalf("after it went on: %+v", x)
	}
}

// The reports of a machine that reaches no controller reach nobody; direct commands reach it.
func TestReportsBlocked(t *testing.T) {
	w, k := machineWith(60 * time.Second)
	n := w.nodes[0]
	n.up, n.paused, n.conns = true, true, map[uint64]func(int, []byte){}
	k.reportsBlocked, n.next = true, 0
	w.Run(5 * time.Second)
	reports := n.next
	got := 0
	k.serve("/inspect", nil, func(s int, _ any) { got = s })
	if got != 200 || reports != 0 {
		t.Errorf("inspect answered %d, %d reports arrived", got, reports)
	}
	k.reportsBlocked = false
	w.Run(2 * time.Second)
	if n.next == 0 {
		t.Error("no report once it reaches controllers again")
	}
}

// A late write gets no answer and is judged by its conditions when it is
// carried out, after an outage if need be.
func TestLateWrite(t *testing.T) {
	w := New(1, 1, io.Discard)
	n := w.nodes[0]
	n.kill()
	w.lateWrites = 1
	write := func(key string, version uint64) {
		body, _ := json.Marshal(transaction{If: []condition{{key, version}}, Then: []operation{{Write: key, Data: json.RawMessage("1")}}})
		if !n.lateWrite(event.Call{Method: "POST", Path: "/commit", Body: body}) {
			t.Fatal("not late")
		}
	}
	write("a", 0)
	write("b", 5)
	w.Run(1900 * time.Millisecond)
	if len(w.state.keys) != 0 {
		t.Fatal("carried out too soon")
	}
	w.state.outage(true)
	w.Run(12 * time.Second)
	if len(w.state.keys) != 0 {
		t.Fatal("carried out in an outage")
	}
	w.state.outage(false)
	w.Run(time.Second)
	if _, ok := w.state.keys["a"]; !ok || len(w.state.keys) != 1 {
		t.Fatalf("it holds %v", w.state.keys)
	}
}
