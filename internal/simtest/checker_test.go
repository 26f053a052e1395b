package simtest

import (
	"io"
	"strings"
	"testing"
	"time"
)

// place lets a task of a job start on a new machine, as a service that breaks rules would.
func place(world *World, job *jobRecord, index int, machine machineIdentity) *taskAssignment {
	machine.name = "i-" + string(rune('a'+len(world.workers)))
	machine.addr = machine.name
	return startOnNewMachine(world, job, index, machine)
}

// violationCases are what breaks a rule, and what the checker says of it.
var violationCases = []struct {
	name, want string
	act        func(world *World, job *jobRecord)
}{
	{
		name: "task on two machines",
		want: "ran_twice",
		act: func(world *World, job *jobRecord) {
			place(world, job, 0, machineIdentity{machineType: "small", zone: "a"})
			place(world, job, 0, machineIdentity{machineType: "small", zone: "b"})
		},
	},
	{
		name: "team over its limit",
		want: "quota",
		act: func(world *World, job *jobRecord) {
			job.gpus = 5
			place(world, job, 0, machineIdentity{machineType: "gpu", zone: "a"})
			place(world, job, 1, machineIdentity{machineType: "gpu", zone: "a"})
		},
	},
	{
		name: "machine type not allowed",
		want: "wrong_place: req-000001/0 attempt 1 on i-a (small",
		act: func(world *World, job *jobRecord) {
			job.machineTypes = []string{"big"}
			place(world, job, 0, machineIdentity{machineType: "small", zone: "a"})
		},
	},
	{
		name: "spot machine not allowed",
		want: "spot true",
		act: func(world *World, job *jobRecord) {
			place(world, job, 0, machineIdentity{machineType: "small", zone: "a", spot: true})
		},
	},
	{
		name: "same zone, in two zones",
		want: "zones map[a:1 b:1]",
		act: func(world *World, job *jobRecord) {
			job.sameZone = true
			place(world, job, 0, machineIdentity{machineType: "small", zone: "a"})
			place(world, job, 1, machineIdentity{machineType: "small", zone: "b"})
		},
	},
	{
		name: "scatter, in one zone",
		want: "scatter true",
		act: func(world *World, job *jobRecord) {
			job.scatter = true
			place(world, job, 0, machineIdentity{machineType: "small", zone: "a"})
			place(world, job, 1, machineIdentity{machineType: "small", zone: "a"})
		},
	},
	{
		name: "runs after the cancellation",
		want: "ran_cancelled",
		act: func(world *World, job *jobRecord) {
			world.checker.cancelRequests[job.id] = true
			world.checker.checkAnswer(world.now, job.id, 200, "cancelled")
			place(world, job, 0, machineIdentity{machineType: "small", zone: "a"})
			world.now += 26 * time.Second
			world.checker.checkInvariants()
		},
	},
	{
		name: "resumes after the cancellation",
		want: "ran_cancelled: req-000001/0 goes on on i-a",
		act: func(world *World, job *jobRecord) {
			world.checker.cancelRequests[job.id] = true
			world.checker.checkAnswer(world.now, job.id, 200, "cancelled")
			worker := place(world, job, 0, machineIdentity{machineType: "small", zone: "a"}).worker
			world.now += 20 * time.Second
			worker.leaseStart = world.now
			worker.hang(6 * time.Second)
			world.Run(6 * time.Second)
		},
	},
	{
		name: "starts after the cancellation",
		want: "ran_cancelled: req-000001/0 starts",
		act: func(world *World, job *jobRecord) {
			world.checker.cancelRequests[job.id] = true
			world.checker.checkAnswer(world.now, job.id, 200, "cancelled")
			world.now += 26 * time.Second
			place(world, job, 0, machineIdentity{machineType: "small", zone: "a"})
		},
	},
	{
		name: "waits beside capacity",
		want: "left waiting: req-000001 beside room for it for 1m30.5s",
		act: func(world *World, job *jobRecord) {
			world.checker.checkAnswer(world.now, job.id, 201, "queued")
			place(world, job, 0, machineIdentity{machineType: "small", zone: "a"})
			world.checker.faultsOverAt = 1
			for range 2 * 96 {
				world.now += invariantCheckInterval
				world.checker.checkInvariants()
			}
		},
	},
	{
		name: "invalid job accepted",
		want: "accepted: req-000001 answered 201, to be refused with 422",
		act: func(world *World, job *jobRecord) {
			job.expectedRefusal = 422
			world.checker.checkAnswer(world.now, job.id, 201, "queued")
		},
	},
	{
		name: "wrong refusal",
		want: "refused wrongly: req-000001 answered 400 for 422",
		act: func(world *World, job *jobRecord) {
			world.checker.checkRefusal(job.id, 422, 400)
		},
	},
	{
		name: "malformed request not decided",
		want: "refused wrongly: req-000001 answered 503 for 400",
		act: func(world *World, job *jobRecord) {
			world.checker.checkRefusal(job.id, 400, 503)
		},
	},
	{
		name: "accepted job unknown",
		want: "forgotten",
		act: func(world *World, job *jobRecord) {
			world.checker.checkAnswer(world.now, job.id, 201, "queued")
			world.checker.checkAnswer(world.now, job.id, 404, "")
		},
	},
	{
		name: "job that nobody submitted",
		want: "invented",
		act: func(world *World, _ *jobRecord) {
			world.checker.checkAnswer(world.now, "req-000009", 200, "queued")
		},
	},
	{
		name: "done before its tasks",
		want: "not_done",
		act: func(world *World, job *jobRecord) {
			world.checker.checkAnswer(world.now, job.id, 200, "done")
		},
	},
	{
		name: "cancelled by nobody",
		want: "went_back",
		act: func(world *World, job *jobRecord) {
			world.checker.checkAnswer(world.now, job.id, 200, "cancelled")
		},
	},
	{
		name: "no answer once the faults are over",
		want: "without an answer for 1m16s",
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
		want: "not served: class c: 0 of 1, largest of c: 0 of 1, team red: 0 of 1",
		act: func(world *World, job *jobRecord) {
			world.checker.checkAnswer(world.now, job.id, 201, "queued")
			world.checker.checkServed()
		},
	},
	{
		name: "largest job late",
		want: "not served: largest of c: 0 of 1",
		act: func(world *World, job *jobRecord) {
			world.checker.checkAnswer(world.now, job.id, 201, "queued")
			job.startedAt = 5 * time.Minute
			world.checker.checkServed()
		},
	},
	{
		name: "done, then queued",
		want: "was done",
		act: func(world *World, job *jobRecord) {
			job.completed = map[int]bool{0: true, 1: true}
			world.checker.checkAnswer(world.now, job.id, 200, "done")
			world.checker.checkAnswer(world.now, job.id, 200, "queued")
		},
	},
}

// newWorldWithJob returns a world with an array of two tasks that was submitted.
func newWorldWithJob() (*World, *jobRecord) {
	world := New(1, 1, io.Discard)
	job := submittedJob("req-000001", 2)
	world.jobs[job.id] = job
	return world, job
}

// TestCheckerCatches shows that the checker sees each kind of violation.
func TestCheckerCatches(t *testing.T) {
	for _, test := range violationCases {
		t.Run(test.name, func(t *testing.T) {
			world, job := newWorldWithJob()
			test.act(world, job)
			if got := world.Verdict(); !strings.Contains(got, test.want) {
				t.Errorf("checker said %q, not %q", got, test.want)
			}
		})
	}
}

// TestCheckerAllows shows what is no violation.
func TestCheckerAllows(t *testing.T) {
	cases := map[string]func(world *World, job *jobRecord){
		"an answer on its way when a newer one came": func(world *World, job *jobRecord) {
			asked := world.now
			world.now += time.Second
			world.checker.cancelRequests[job.id] = true
			world.checker.checkAnswer(world.now, job.id, 200, "cancelled")
			world.checker.checkAnswer(asked, job.id, 200, "running")
			world.checker.checkAnswer(asked, job.id, 404, "")
		},
		"a machine that hangs for longer than its lease": func(world *World, job *jobRecord) {
			world.checker.cancelRequests[job.id] = true
			world.checker.checkAnswer(world.now, job.id, 200, "cancelled")
			worker := newWorker(world, smallMachine("i-a", "a"))
			worker.assignments["req-000001/0"] = &taskAssignment{worker: worker, job: job, name: "req-000001/0", attempt: 1, phase: "running"}
			worker.hang(26 * time.Second)
			world.Run(25500 * time.Millisecond)
			world.checker.checkInvariants()
			world.Run(time.Second)
		},
		"a job that waits where its team is at its limit": func(world *World, job *jobRecord) {
			job.team, job.cpus = "blue", 17
			world.checker.checkAnswer(world.now, job.id, 201, "queued")
			world.checker.faultsOverAt = 1
			for range 2 * 100 {
				world.now += invariantCheckInterval
				world.checker.checkInvariants()
			}
		},
		"an invalid request that cannot be decided": func(world *World, job *jobRecord) { world.checker.checkRefusal(job.id, 422, 503) },
	}
	for name, act := range cases {
		t.Run(name, func(t *testing.T) {
			world, job := newWorldWithJob()
			act(world, job)
			if got := world.Verdict(); got != "kept" {
				t.Errorf("checker said %q", got)
			}
		})
	}
}

// TestCheckerCounts shows that starts after a confirmed cancellation count.
func TestCheckerCounts(t *testing.T) {
	world, job := newWorldWithJob()
	worker := newWorker(world, smallMachine("i-a", "a"))
	start := func(shard string) {
		world.checker.checkStart(&taskAssignment{worker: worker, job: job, name: shard, attempt: 1, phase: "running"})
	}
	start("req-000001/0")
	world.checker.cancelRequests[job.id] = true
	world.checker.checkAnswer(world.now, job.id, 200, "cancelled")
	start("req-000001/1")
	if got := world.checker.startsAfterCancellation; got != 1 || world.Verdict() != "kept" {
		t.Errorf("%d starts after the cancellation, %s", got, world.Verdict())
	}
}
