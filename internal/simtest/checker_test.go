package simtest

import (
	"encoding/json"
	"io"
	"strings"
	"testing"
	"time"

	"lugward/internal/event"
	"lugward/internal/peer"
)

// cancelJob requests and acknowledges the cancellation of a job.
func cancelJob(world *World, job *jobRecord) {
	world.checker.cancelRequests[job.id] = true
	world.checker.checkAnswer(world.now, job.id, 200, jobCancelled)
}

// startReply returns a response to a heartbeat that starts an attempt of a task.
func startReply(task string, attempt uint64) []event.Reply {
	body, err := json.Marshal(heartbeatResponse{FencingToken: 1, Commands: []taskCommand{{Verb: "start", Task: task, Attempt: attempt}}})
	if err != nil {
		panic(err) // text and numbers can always be encoded
	}
	return []event.Reply{{Status: 200, Body: body}}
}

// startOnMachine starts a task of a job on a new machine without checking any placement constraint.
func startOnMachine(world *World, job *jobRecord, index int, machine machineIdentity) *taskAssignment {
	machine.name = "i-" + string(rune('a'+len(world.workers)))
	machine.addr = machine.name
	return startOnNewMachine(world, job, index, machine)
}

// violationCases are violations of invariants and the texts that the checker reports for them.
var violationCases = []struct {
	name, want string
	act        func(world *World, job *jobRecord)
}{
	{
		name: "task on two machines",
		want: "task executes on two machines: task req-000001/0 starts on i-b, but still executes on i-a",
		act: func(world *World, job *jobRecord) {
			startOnMachine(world, job, 0, machineIdentity{machineType: "small", zone: "a"})
			startOnMachine(world, job, 0, machineIdentity{machineType: "small", zone: "b"})
		},
	},
	{
		name: "start command without an assignment",
		want: `start command reached a machine without the assignment: task req-000001/0 attempt 1 is commanded on i-a, but assigned to ""`,
		act: func(world *World, job *jobRecord) {
			commandStart(world, job, smallMachine("i-a", "a"))
		},
	},
	{
		name: "start command on a machine other than the assigned one",
		want: `start command reached a machine without the assignment: task req-000001/0 attempt 1 is commanded on i-a, but assigned to "i-b"`,
		act: func(world *World, job *jobRecord) {
			world.stateService.putValue(runKeyPrefix+job.id+"/0", `{"t":1,"a":[[0,1,"i-b"]]}`)
			commandStart(world, job, smallMachine("i-a", "a"))
		},
	},
	{
		name: "two heartbeats relayed under one ID",
		want: "ID of relayed heartbeat used twice: controller n0 relays a heartbeat under ID 7, which it has used before",
		act: func(world *World, _ *jobRecord) {
			for _, id := range []uint64{7, 8, 7} {
				world.checker.checkRelayID("n0", peer.Append(nil, &peer.Frame{Kind: peer.Relay, Label: "n0", ID: id}))
			}
		},
	},
	{
		name: "team over its limit",
		want: "team limit exceeded: team red uses",
		act: func(world *World, job *jobRecord) {
			job.gpus = 5
			startOnMachine(world, job, 0, machineIdentity{machineType: "gpu", zone: "a"})
			startOnMachine(world, job, 1, machineIdentity{machineType: "gpu", zone: "a"})
		},
	},
	{
		name: "machine type not allowed",
		want: "placement constraint violated: task req-000001/0 attempt 1 starts on i-a (small",
		act: func(world *World, job *jobRecord) {
			job.machineTypes = []string{"big"}
			startOnMachine(world, job, 0, machineIdentity{machineType: "small", zone: "a"})
		},
	},
	{
		name: "spot machine not allowed",
		want: "spot true), tasks by zone",
		act: func(world *World, job *jobRecord) {
			startOnMachine(world, job, 0, machineIdentity{machineType: "small", zone: "a", spot: true})
		},
	},
	{
		name: "same zone, in two zones",
		want: "tasks by zone map[a:1 b:1]",
		act: func(world *World, job *jobRecord) {
			job.sameZone = true
			startOnMachine(world, job, 0, machineIdentity{machineType: "small", zone: "a"})
			startOnMachine(world, job, 1, machineIdentity{machineType: "small", zone: "b"})
		},
	},
	{
		name: "scatter, in one zone",
		want: "scatter true",
		act: func(world *World, job *jobRecord) {
			job.scatter = true
			startOnMachine(world, job, 0, machineIdentity{machineType: "small", zone: "a"})
			startOnMachine(world, job, 1, machineIdentity{machineType: "small", zone: "a"})
		},
	},
	{
		name: "runs after the cancellation",
		want: "cancelled task not stopped in time: task req-000001/0 executes on i-a",
		act: func(world *World, job *jobRecord) {
			world.checker.cancelRequests[job.id] = true
			world.checker.checkAnswer(world.now, job.id, 200, "cancelled")
			startOnMachine(world, job, 0, machineIdentity{machineType: "small", zone: "a"})
			world.now += 26 * time.Second
			world.checker.checkInvariants()
		},
	},
	{
		name: "resumes after the cancellation",
		want: "cancelled task not stopped in time: task req-000001/0 resumes on i-a",
		act: func(world *World, job *jobRecord) {
			world.checker.cancelRequests[job.id] = true
			world.checker.checkAnswer(world.now, job.id, 200, "cancelled")
			worker := startOnMachine(world, job, 0, machineIdentity{machineType: "small", zone: "a"}).worker
			world.now += 20 * time.Second
			worker.leaseStart = world.now
			worker.hang(6 * time.Second)
			world.Run(6 * time.Second)
		},
	},
	{
		name: "starts after the cancellation",
		want: "cancelled task started too late: task req-000001/0 starts",
		act: func(world *World, job *jobRecord) {
			world.checker.cancelRequests[job.id] = true
			world.checker.checkAnswer(world.now, job.id, 200, "cancelled")
			world.now += 26 * time.Second
			startOnMachine(world, job, 0, machineIdentity{machineType: "small", zone: "a"})
		},
	},
	{
		name: "start command given after the cancellation",
		want: "start command after the cancellation: n0 commands the start of task req-000001/0 attempt 1 1s after the acknowledged cancellation",
		act: func(world *World, job *jobRecord) {
			cancelJob(world, job)
			world.now += time.Second
			world.checker.checkGivenStarts("n0", startReply("req-000001/0", 1), nil)
		},
	},
	{
		name: "start command given to a relaying controller after the cancellation",
		want: "start command after the cancellation: n0 commands the start of task req-000001/0 attempt 1",
		act: func(world *World, job *jobRecord) {
			cancelJob(world, job)
			ack := peer.Frame{Kind: peer.RelayAck, Label: "n0", ID: 7, Status: 200, Body: startReply("req-000001/0", 1)[0].Body}
			world.checker.checkGivenStarts("n0", nil, []event.PeerFrame{{Data: peer.Append(nil, &ack)}})
		},
	},
	{
		name: "starts by a command that was given after the cancellation",
		want: "cancelled task started by a later command: task req-000001/0 attempt 1 starts on i-a",
		act: func(world *World, job *jobRecord) {
			cancelJob(world, job)
			startOnMachine(world, job, 0, machineIdentity{machineType: "small", zone: "a"})
		},
	},
	{
		name: "start command executed too late after the cancellation",
		want: "start command executed after the cancellation: task req-000001/0 attempt 1 is started on i-a 4.001s after the acknowledged cancellation, want at most 4s",
		act: func(world *World, job *jobRecord) {
			cancelJob(world, job)
			world.now += heartbeatTimeout + time.Millisecond
			commandStart(world, job, smallMachine("i-a", "a"))
		},
	},
	{
		name: "start command executed twice",
		want: "start command executed twice: task req-000001/0 attempt 1 is started on i-a, which has started it before in this incarnation",
		act: func(world *World, job *jobRecord) {
			world.stateService.putValue(runKeyPrefix+job.id+"/0", `{"t":1,"a":[[0,1,"i-a"]]}`)
			commandStart(world, job, smallMachine("i-a", "a"))
			commandStart(world, job, smallMachine("i-a", "a"))
		},
	},
	{
		name: "start in a direct command",
		want: "start in a direct command: i-a is commanded to start task req-000001/0 attempt 1",
		act: func(world *World, job *jobRecord) {
			world.stateService.putValue(runKeyPrefix+job.id+"/0", `{"t":1,"a":[[0,1,"i-a"]]}`)
			worker := newWorker(world, smallMachine("i-a", "a"))
			worker.serve(directCommandPath, []byte(`{"fence":1,"tenure":1,"orders":[{"verb":"start","shard":"req-000001/0","try":1}]}`), func(int, any) {})
		},
	},
	{
		name: "placeable job not started",
		want: "placeable job not started: job req-000001 unassigned for 1m30.5s with free capacity",
		act: func(world *World, job *jobRecord) {
			world.checker.checkAnswer(world.now, job.id, 201, "queued")
			startOnMachine(world, job, 0, machineIdentity{machineType: "small", zone: "a"})
			world.checker.faultsOverAt = 1
			for range 2 * 96 {
				world.now += invariantCheckInterval
				world.checker.checkInvariants()
			}
		},
	},
	{
		name: "invalid job accepted",
		want: "invalid job accepted: request for job req-000001 got status 201, want 422",
		act: func(world *World, job *jobRecord) {
			job.expectedRefusal = 422
			world.checker.checkAnswer(world.now, job.id, 201, "queued")
		},
	},
	{
		name: "wrong refusal",
		want: "wrong status of refusal: request for job req-000001 got status 400, want 422",
		act: func(world *World, job *jobRecord) {
			world.checker.checkRefusal(job.id, 422, 400)
		},
	},
	{
		name: "malformed request not decided",
		want: "wrong status of refusal: request for job req-000001 got status 503, want 400",
		act: func(world *World, job *jobRecord) {
			world.checker.checkRefusal(job.id, 400, 503)
		},
	},
	{
		name: "accepted job unknown",
		want: "accepted job unknown or refused: request for job req-000001 got status 404",
		act: func(world *World, job *jobRecord) {
			world.checker.checkAnswer(world.now, job.id, 201, "queued")
			world.checker.checkAnswer(world.now, job.id, 404, "")
		},
	},
	{
		name: "job that was never submitted",
		want: "answer for a job that was never submitted: request for job req-000009 got status 200",
		act: func(world *World, _ *jobRecord) {
			world.checker.checkAnswer(world.now, "req-000009", 200, "queued")
		},
	},
	{
		name: "done before its tasks",
		want: "job done before its tasks: job req-000001",
		act: func(world *World, job *jobRecord) {
			world.checker.checkAnswer(world.now, job.id, 200, "done")
		},
	},
	{
		name: "cancelled without request",
		want: "job cancelled without request: job req-000001",
		act: func(world *World, job *jobRecord) {
			world.checker.checkAnswer(world.now, job.id, 200, "cancelled")
		},
	},
	{
		name: "no answer once the faults are over",
		want: "polls of job req-000001 without an answer for 1m16s",
		act: func(world *World, job *jobRecord) {
			world.checker.checkAnswer(world.now, job.id, 201, "queued")
			world.checker.faultsOverAt = world.now + 1
			world.checker.checkPoll(job.id, 200)
			world.now += 76*time.Second + 1
			world.checker.checkPoll(job.id, 503)
		},
	},
	{
		name: "job that never runs",
		want: "less than half of a group of jobs ran: class c: 0 of 1, largest of c: 0 of 1, team red: 0 of 1",
		act: func(world *World, job *jobRecord) {
			world.checker.checkAnswer(world.now, job.id, 201, "queued")
			world.checker.checkServed()
		},
	},
	{
		name: "largest job late",
		want: "less than half of a group of jobs ran: largest of c: 0 of 1",
		act: func(world *World, job *jobRecord) {
			world.checker.checkAnswer(world.now, job.id, 201, "queued")
			job.startedAt = 5 * time.Minute
			world.checker.checkServed()
		},
	},
	{
		name: "done, then queued",
		want: "terminal phase changed: job req-000001 was reported as done before, now as queued",
		act: func(world *World, job *jobRecord) {
			job.completed = map[int]bool{0: true, 1: true}
			world.checker.checkAnswer(world.now, job.id, 200, "done")
			world.checker.checkAnswer(world.now, job.id, 200, "queued")
		},
	},
}

// newWorldWithJob returns a world with one submitted array of two tasks.
func newWorldWithJob() (*World, *jobRecord) {
	world := New(1, 1, io.Discard)
	job := submittedJob("req-000001", 2)
	world.jobs[job.id] = job
	return world, job
}

// TestCheckerCatches checks that the checker reports each kind of violation.
func TestCheckerCatches(t *testing.T) {
	for _, test := range violationCases {
		t.Run(test.name, func(t *testing.T) {
			world, job := newWorldWithJob()
			test.act(world, job)
			if got := world.Verdict(); !strings.Contains(got, test.want) {
				t.Errorf("Verdict() = %q, want it to contain %q", got, test.want)
			}
		})
	}
}

// TestCheckerAllows checks that allowed behaviour is not reported as a violation.
func TestCheckerAllows(t *testing.T) {
	cases := map[string]func(world *World, job *jobRecord){
		"an older answer that was in flight when a newer one arrived": func(world *World, job *jobRecord) {
			sentAt := world.now
			world.now += time.Second
			world.checker.cancelRequests[job.id] = true
			world.checker.checkAnswer(world.now, job.id, 200, "cancelled")
			world.checker.checkAnswer(sentAt, job.id, 200, "running")
			world.checker.checkAnswer(sentAt, job.id, 404, "")
		},
		"a cancelled task on a machine that hangs for longer than its lease": func(world *World, job *jobRecord) {
			world.checker.cancelRequests[job.id] = true
			world.checker.checkAnswer(world.now, job.id, 200, "cancelled")
			worker := newWorker(world, smallMachine("i-a", "a"))
			worker.assignments["req-000001/0"] = &taskAssignment{worker: worker, job: job, name: "req-000001/0", attempt: 1, phase: "running"}
			worker.hang(26 * time.Second)
			world.Run(25500 * time.Millisecond)
			world.checker.checkInvariants()
			world.Run(time.Second)
		},
		"a job that waits because its team is at its limit": func(world *World, job *jobRecord) {
			job.team, job.cpus = "blue", 17
			world.checker.checkAnswer(world.now, job.id, 201, "queued")
			world.checker.faultsOverAt = 1
			for range 2 * 100 {
				world.now += invariantCheckInterval
				world.checker.checkInvariants()
			}
		},
		"an invalid request that the controller cannot decide yet": func(world *World, job *jobRecord) { world.checker.checkRefusal(job.id, 422, 503) },
	}
	for name, act := range cases {
		t.Run(name, func(t *testing.T) {
			world, job := newWorldWithJob()
			act(world, job)
			if got := world.Verdict(); got != "kept" {
				t.Errorf("Verdict() = %q, want kept", got)
			}
		})
	}
}

// TestCheckerCounts checks that only starts after an acknowledged cancellation are counted.
func TestCheckerCounts(t *testing.T) {
	world, job := newWorldWithJob()
	worker := newWorker(world, smallMachine("i-a", "a"))
	start := func(task string) {
		world.checker.checkStart(&taskAssignment{worker: worker, job: job, name: task, attempt: 1, phase: "running"})
	}
	start("req-000001/0")
	// The command to start the second task is in flight when the cancellation is acknowledged.
	world.checker.checkGivenStarts("n0", startReply("req-000001/1", 1), nil)
	world.now += time.Second
	world.checker.cancelRequests[job.id] = true
	world.checker.checkAnswer(world.now, job.id, 200, "cancelled")
	start("req-000001/1")
	if got := world.checker.startsAfterCancellation; got != 1 || world.Verdict() != "kept" {
		t.Errorf("got %d starts after the cancellation and verdict %q, want 1 and kept", got, world.Verdict())
	}
}
