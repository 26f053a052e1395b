package simtest

import (
	"io"
	"strings"
	"testing"
	"time"
)

// TestCheckerCatches shows that the checker sees each kind of violation.
func TestCheckerCatches(t *testing.T) {
	// place puts a task on a machine as a service that breaks rules would.
	place := func(world *World, job *jobRecord, index int, machineType, zone string, spot bool) *taskAssignment {
		name := "i-" + string(rune('a'+len(world.workers)))
		worker := &fakeWorker{world: world, name: name, addr: name, machineType: machineType, zone: zone, spot: spot, up: true, assignments: map[string]*taskAssignment{}}
		world.workers[name] = worker
		assignment := &taskAssignment{worker: worker, job: job, name: job.id + "/" + string(rune('0'+index)), index: index, attempt: 1, phase: "running"}
		worker.assignments[assignment.name] = assignment
		world.checker.checkStart(assignment)
		return assignment
	}
	cases := map[string]func(world *World, job *jobRecord){
		"ran_twice": func(world *World, job *jobRecord) {
			place(world, job, 0, "small", "a", false)
			place(world, job, 0, "small", "b", false)
		},
		"quota": func(world *World, job *jobRecord) {
			job.gpus = 5
			place(world, job, 0, "gpu", "a", false)
			place(world, job, 1, "gpu", "a", false)
		},
		"wrong_place: req-000001/0 attempt 1 on i-a (small": func(world *World, job *jobRecord) {
			job.machineTypes = []string{"big"}
			place(world, job, 0, "small", "a", false)
		},
		"spot true": func(world *World, job *jobRecord) { place(world, job, 0, "small", "a", true) },
		"zones map[a:1 b:1]": func(world *World, job *jobRecord) {
			job.sameZone = true
			place(world, job, 0, "small", "a", false)
			place(world, job, 1, "small", "b", false)
		},
		"scatter true": func(world *World, job *jobRecord) {
			job.scatter = true
			place(world, job, 0, "small", "a", false)
			place(world, job, 1, "small", "a", false)
		},
		"ran_cancelled": func(world *World, job *jobRecord) {
			world.checker.cancelRequests[job.id] = true
			world.checker.checkAnswer(world.now, job.id, 200, "cancelled")
			place(world, job, 0, "small", "a", false)
			world.now += 26 * time.Second
			world.checker.checkInvariants()
		},
		"ran_cancelled: req-000001/0 goes on on i-a": func(world *World, job *jobRecord) {
			world.checker.cancelRequests[job.id] = true
			world.checker.checkAnswer(world.now, job.id, 200, "cancelled")
			worker := place(world, job, 0, "small", "a", false).worker
			world.now += 20 * time.Second
			worker.leaseStart = world.now
			worker.hang(6 * time.Second)
			world.Run(6 * time.Second)
		},
		"ran_cancelled: req-000001/0 starts": func(world *World, job *jobRecord) {
			world.checker.cancelRequests[job.id] = true
			world.checker.checkAnswer(world.now, job.id, 200, "cancelled")
			world.now += 26 * time.Second
			place(world, job, 0, "small", "a", false)
		},
		"left waiting: req-000001 beside room for it for 1m30.5s": func(world *World, job *jobRecord) {
			world.checker.checkAnswer(world.now, job.id, 201, "queued")
			place(world, job, 0, "small", "a", false)
			world.checker.faultsOverAt = 1
			for range 2 * 96 {
				world.now += invariantCheckInterval
				world.checker.checkInvariants()
			}
		},
		"accepted: req-000001 answered 201, to be refused with 422": func(world *World, job *jobRecord) {
			job.expectedRefusal = 422
			world.checker.checkAnswer(world.now, job.id, 201, "queued")
		},
		"refused wrongly: req-000001 answered 400 for 422": func(world *World, job *jobRecord) { world.checker.checkRefusal(job.id, 422, 400) },
		"refused wrongly: req-000001 answered 503 for 400": func(world *World, job *jobRecord) { world.checker.checkRefusal(job.id, 400, 503) },
		"forgotten": func(world *World, job *jobRecord) {
			world.checker.checkAnswer(world.now, job.id, 201, "queued")
			world.checker.checkAnswer(world.now, job.id, 404, "")
		},
		"invented":  func(world *World, _ *jobRecord) { world.checker.checkAnswer(world.now, "req-000009", 200, "queued") },
		"not_done":  func(world *World, job *jobRecord) { world.checker.checkAnswer(world.now, job.id, 200, "done") },
		"went_back": func(world *World, job *jobRecord) { world.checker.checkAnswer(world.now, job.id, 200, "cancelled") },
		"without an answer for 1m16s": func(world *World, job *jobRecord) {
			world.checker.checkAnswer(world.now, job.id, 201, "queued")
			world.checker.faultsOverAt = world.now + 1
			world.checker.checkPoll(job.id, 200)
			world.now += 76*time.Second + 1
			world.checker.checkPoll(job.id, 503)
		},
		"not served: class c: 0 of 1, largest of c: 0 of 1, team red: 0 of 1": func(world *World, job *jobRecord) {
			world.checker.checkAnswer(world.now, job.id, 201, "queued")
			world.checker.checkServed()
		},
		"not served: largest of c: 0 of 1": func(world *World, job *jobRecord) {
			world.checker.checkAnswer(world.now, job.id, 201, "queued")
			job.startedAt = 5 * time.Minute
			world.checker.checkServed()
		},
		"was done": func(world *World, job *jobRecord) {
			job.completed = map[int]bool{0: true, 1: true}
			world.checker.checkAnswer(world.now, job.id, 200, "done")
			world.checker.checkAnswer(world.now, job.id, 200, "queued")
		},
	}
	for want, breakIt := range cases {
		world := New(1, 1, io.Discard)
		job := &jobRecord{id: "req-000001", team: "red", class: "c", taskCount: 2, submitted: true, completed: map[int]bool{}}
		world.jobs[job.id] = job
		breakIt(world, job)
		if got := world.Verdict(); !strings.Contains(got, want) {
			t.Errorf("%s: checker said %q", want, got)
		}
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
			worker := newWorker(world, "i-a", "i-a", "small", "a", false)
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
	for name, action := range cases {
		world := New(1, 1, io.Discard)
		job := &jobRecord{id: "req-000001", team: "red", class: "c", taskCount: 2, submitted: true, completed: map[int]bool{}}
		world.jobs[job.id] = job
		action(world, job)
		if got := world.Verdict(); got != "kept" {
			t.Errorf("%s: checker said %q", name, got)
		}
	}
}

// TestCheckerCounts shows that starts after a confirmed cancellation count.
func TestCheckerCounts(t *testing.T) {
	world := New(1, 1, io.Discard)
	job := &jobRecord{id: "req-000001", team: "red", class: "c", taskCount: 2, submitted: true, completed: map[int]bool{}}
	world.jobs[job.id] = job
	worker := newWorker(world, "i-a", "i-a", "small", "a", false)
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
