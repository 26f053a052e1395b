package simtest

import (
	"encoding/json"
	"io"
	"testing"
	"time"

	"lugward/internal/event"
)

// startOneTask returns a machine that runs one task of an array, its lease just
// renewed, in a world whose only controller does nothing.
func startOneTask(run time.Duration) (*World, *fakeWorker) {
	world := New(1, 1, io.Discard)
	world.controllers[0].kill()
	world.users.registerJob(Arguments{"id": "req-000001", "run": run.String(), "image": "0s"})
	worker := newWorker(world, smallMachine("i-a", "a"))
	worker.executeCommands([]taskCommand{{Verb: "start", Task: "req-000001/0", Attempt: 1}})
	world.Run(100 * time.Millisecond)
	return world, worker
}

// A hang inside the lease lets the tasks go on where they stood.
func TestHangInsideLease(t *testing.T) {
	world, worker := startOneTask(8 * time.Second)
	world.Run(2 * time.Second)
	worker.leaseStart = world.now
	worker.hang(9 * time.Second)
	world.Run(8 * time.Second)
	if assignment := worker.assignments["req-000001/0"]; assignment == nil || assignment.phase != "running" {
		t.Fatalf("before it goes on: %+v", assignment)
	}
	world.Run(2 * time.Second)
	if assignment := worker.assignments["req-000001/0"]; assignment == nil || assignment.phase != "running" || worker.incarnation != 1 {
		t.Fatalf("after it went on: %+v, incarnation %d", assignment, worker.incarnation)
	}
	worker.leaseStart = world.now
	world.Run(5 * time.Second)
	if assignment := worker.assignments["req-000001/0"]; assignment == nil || assignment.cause != "done" {
		t.Fatalf("at last: %+v", assignment)
	}
}

// A machine that goes on later than its lease kills its tasks before it does
// anything else: what waited for it finds the next incarnation.
func TestHangBeyondLease(t *testing.T) {
	world, worker := startOneTask(60 * time.Second)
	worker.leaseStart = world.now
	worker.hang(11 * time.Second)
	status := 0
	worker.serve("/do", []byte(`{"fence":7,"tenure":1,"orders":[{"verb":"start","shard":"req-000001/0","try":2}]}`), func(code int, _ any) { status = code })
	world.Run(10500 * time.Millisecond)
	if status != 0 || !worker.certainlyLost() || len(world.checker.onMachines()) != 0 {
		t.Fatalf("while it hangs: %d, certainly lost %v", status, worker.certainlyLost())
	}
	world.Run(time.Second)
	if status != 409 || len(worker.assignments) != 0 || worker.incarnation != 2 {
		t.Fatalf("after it went on: %d, %d tasks, incarnation %d", status, len(worker.assignments), worker.incarnation)
	}
}

// The lease counts from the sending of the last answered heartbeat, and what comes
// later than the worker waits is dropped, be it that the machine hung.
func TestLateAnswerRenewsNothing(t *testing.T) {
	for _, test := range []struct {
		name    string
		hang    time.Duration
		renewed bool
	}{
		{"answer within the timeout", 3 * time.Second, true},
		{"answer after the timeout", 5 * time.Second, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			world, worker := startOneTask(60 * time.Second)
			world.Run(time.Second)
			want := worker.leaseStart
			worker.heartbeatInFlight = false
			process := world.controllers[0]
			// It takes the heartbeat and says nothing.
			process.up, process.paused, process.pendingRequests = true, true, map[uint64]func(int, []byte){}
			worker.sendHeartbeat()
			if test.renewed {
				want = worker.lastHeartbeat
			}
			world.Run(10 * time.Millisecond)
			worker.hang(test.hang)
			body, err := json.Marshal(heartbeatResponse{FencingToken: 7})
			if err != nil {
				t.Fatal(err)
			}
			for _, answer := range process.pendingRequests {
				answer(200, body)
			}
			process.up = false
			world.Run(test.hang + 100*time.Millisecond)
			if worker.leaseStart != want {
				t.Errorf("lease from %s, not %s", worker.leaseStart, want)
			}
		})
	}
}

// A gang whose machine hangs ends where it executes, and there when it goes on.
func TestHangEndsGang(t *testing.T) {
	world := New(1, 1, io.Discard)
	world.controllers[0].kill()
	world.users.registerJob(Arguments{"id": "req-000001", "shape": "gang", "tasks": "2", "run": "60s", "image": "0s"})
	list := make([]*fakeWorker, 0, 2)
	for i, name := range []string{"i-a", "i-b"} {
		worker := newWorker(world, smallMachine(name, "a"))
		worker.executeCommands([]taskCommand{{Verb: "start", Task: taskName("req-000001", i), Attempt: 1}})
		list = append(list, worker)
	}
	world.Run(time.Second)
	list[0].hang(4 * time.Second)
	world.Run(3 * time.Second)
	if assignment, other := list[0].assignments["req-000001/0"], list[1].assignments["req-000001/1"]; assignment.phase != "running" || other.cause != "peers" {
		t.Fatalf("while it hangs: %+v, %+v", assignment, other)
	}
	world.Run(2 * time.Second)
	if assignment := list[0].assignments["req-000001/0"]; assignment.cause != "peers" {
		t.Fatalf("after it went on: %+v", assignment)
	}
}

// The heartbeats of a machine that reaches no controller reach nobody; direct commands reach it.
func TestReportsBlocked(t *testing.T) {
	world, worker := startOneTask(60 * time.Second)
	process := world.controllers[0]
	process.up, process.paused, process.pendingRequests = true, true, map[uint64]func(int, []byte){}
	worker.heartbeatsBlocked, process.lastRequest = true, 0
	world.Run(5 * time.Second)
	heartbeats := process.lastRequest
	got := 0
	worker.serve("/inspect", nil, func(code int, _ any) { got = code })
	if got != 200 || heartbeats != 0 {
		t.Errorf("inspect answered %d, %d heartbeats arrived", got, heartbeats)
	}
	worker.heartbeatsBlocked = false
	world.Run(2 * time.Second)
	if process.lastRequest == 0 {
		t.Error("no heartbeat once it reaches controllers again")
	}
}

// A late write gets no answer and is judged by its conditions when it is
// carried out, after an outage if need be.
func TestLateWrite(t *testing.T) {
	world := New(1, 1, io.Discard)
	process := world.controllers[0]
	process.kill()
	world.network.lateWrites = 1
	write := func(key string, version uint64) {
		body, _ := json.Marshal(transaction{If: []precondition{{key, version}}, Then: []operation{{Write: key, Data: json.RawMessage("1")}}})
		if !process.delayTransaction(event.Call{Method: "POST", Path: "/commit", Body: body}) {
			t.Fatal("not late")
		}
	}
	write("a", 0)
	write("b", 5)
	world.Run(1900 * time.Millisecond)
	if len(world.stateService.keys) != 0 {
		t.Fatal("carried out too soon")
	}
	world.stateService.setOutage(true)
	world.Run(12 * time.Second)
	if len(world.stateService.keys) != 0 {
		t.Fatal("carried out in an outage")
	}
	world.stateService.setOutage(false)
	world.Run(time.Second)
	if _, ok := world.stateService.keys["a"]; !ok || len(world.stateService.keys) != 1 {
		t.Fatalf("it holds %v", world.stateService.keys)
	}
}
