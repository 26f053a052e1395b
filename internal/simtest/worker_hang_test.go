package simtest

import (
	"encoding/json"
	"io"
	"testing"
	"time"

	"lugward/internal/event"
)

// startOneTask returns a worker that runs one task of an array job and whose lease has just
// begun, in a world whose only controller is down.
func startOneTask(run time.Duration) (*World, *fakeWorker) {
	world := New(1, 1, io.Discard)
	world.controllers[0].kill()
	world.users.registerJob(Arguments{"id": "req-000001", "run": run.String(), "image": "0s"})
	worker := newWorker(world, smallMachine("i-a", "a"))
	worker.executeCommands([]taskCommand{{Verb: "start", Task: "req-000001/0", Attempt: 1}})
	world.Run(100 * time.Millisecond)
	return world, worker
}

// TestHangInsideLease checks that tasks continue after a hang that is shorter than the lease,
// and that the hang does not count as run time.
func TestHangInsideLease(t *testing.T) {
	world, worker := startOneTask(8 * time.Second)
	world.Run(2 * time.Second)
	worker.leaseStart = world.now
	worker.hang(9 * time.Second)
	world.Run(8 * time.Second)
	if assignment := worker.assignments["req-000001/0"]; assignment == nil || assignment.phase != "running" {
		t.Fatalf("assignment during the hang is %+v, want phase running", assignment)
	}
	world.Run(2 * time.Second)
	if assignment := worker.assignments["req-000001/0"]; assignment == nil || assignment.phase != "running" || worker.incarnation != 1 {
		t.Fatalf("assignment after the hang is %+v in incarnation %d, want phase running in incarnation 1", assignment, worker.incarnation)
	}
	worker.leaseStart = world.now
	world.Run(5 * time.Second)
	if assignment := worker.assignments["req-000001/0"]; assignment == nil || assignment.cause != "done" {
		t.Fatalf("assignment after its run time is %+v, want cause done", assignment)
	}
}

// TestHangBeyondLease checks that a worker that resumes after its lease has expired kills its
// tasks before it does anything else. A command that arrived during the hang is then refused,
// because it names the previous incarnation.
func TestHangBeyondLease(t *testing.T) {
	world, worker := startOneTask(60 * time.Second)
	worker.leaseStart = world.now
	worker.hang(11 * time.Second)
	status := 0
	worker.serve("/do", []byte(`{"fence":7,"tenure":1,"orders":[{"verb":"start","shard":"req-000001/0","try":2}]}`), func(code int, _ any) { status = code })
	world.Run(10500 * time.Millisecond)
	if status != 0 || !worker.hungPastLease() || len(world.checker.executingAssignments()) != 0 {
		t.Fatalf("during the hang: status %d, tasks lost: %v, want status 0, lost tasks and none on machines", status, worker.hungPastLease())
	}
	world.Run(time.Second)
	if status != 409 || len(worker.assignments) != 0 || worker.incarnation != 2 {
		t.Fatalf("after the hang: status %d, %d tasks, incarnation %d, want status 409, no tasks, incarnation 2", status, len(worker.assignments), worker.incarnation)
	}
}

// TestLateAnswerRenewsNothing checks that the lease is counted from the time at which the last
// answered heartbeat was sent. A response that is handled after the heartbeat's timeout is
// dropped, also if it is late only because the machine hung.
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
			// The paused controller receives the heartbeat and does not respond.
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
				t.Errorf("lease starts at %s, want %s", worker.leaseStart, want)
			}
		})
	}
}

// TestHangEndsGang checks that a hang of one machine ends a gang: immediately on the machines
// that still execute, and on resume on the machine that hangs.
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
		t.Fatalf("tasks during the hang are %+v and %+v, want phase running and cause peers", assignment, other)
	}
	world.Run(2 * time.Second)
	if assignment := list[0].assignments["req-000001/0"]; assignment.cause != "peers" {
		t.Fatalf("task after the hang is %+v, want cause peers", assignment)
	}
}

// TestReportsBlocked checks that no heartbeat arrives while heartbeats are blocked, but that
// the worker still answers direct requests.
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
		t.Errorf("inspection returned status %d and %d heartbeats arrived, want 200 and 0", got, heartbeats)
	}
	worker.heartbeatsBlocked = false
	world.Run(2 * time.Second)
	if process.lastRequest == 0 {
		t.Error("no heartbeat arrived after heartbeats were unblocked, want at least 1")
	}
}

// TestLateWrite checks that a late write gets no response, that its preconditions are checked
// when it is executed, and that it is not executed during an outage.
func TestLateWrite(t *testing.T) {
	world := New(1, 1, io.Discard)
	process := world.controllers[0]
	process.kill()
	world.network.lateWriteShare = 1
	write := func(key string, version uint64) {
		body, _ := json.Marshal(transaction{If: []precondition{{key, version}}, Then: []operation{{Write: key, Data: json.RawMessage("1")}}})
		if !process.delayTransaction(event.Call{Method: "POST", Path: "/commit", Body: body}) {
			t.Fatal("transaction was not delayed")
		}
	}
	write("a", 0)
	write("b", 5)
	world.Run(1900 * time.Millisecond)
	if len(world.stateService.keys) != 0 {
		t.Fatal("late transaction was executed within 1.9 s, want at least 2 s")
	}
	world.stateService.setOutage(true)
	world.Run(12 * time.Second)
	if len(world.stateService.keys) != 0 {
		t.Fatal("late transaction was executed during an outage")
	}
	world.stateService.setOutage(false)
	world.Run(time.Second)
	if _, ok := world.stateService.keys["a"]; !ok || len(world.stateService.keys) != 1 {
		t.Fatalf("state service holds %v, want only key a", world.stateService.keys)
	}
}
