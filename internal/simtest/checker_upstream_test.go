package simtest

import (
	"io"
	"strings"
	"testing"
	"time"
)

// acceptJobAwaiting adds a job of one task that needs others, accepted.
func acceptJobAwaiting(world *World, id string, awaits ...string) *jobRecord {
	job := &jobRecord{id: id, team: "red", class: "c", taskCount: 1, submitted: true, completed: map[int]bool{}, upstream: awaits}
	world.jobs[id] = job
	world.checker.checkAnswer(world.now, id, 201, "queued")
	return job
}

// completeJob lets all tasks of a job complete and, marked, stores its done mark.
func completeJob(world *World, job *jobRecord, marked bool) {
	for i := range job.taskCount {
		job.completed[i] = true
	}
	if marked {
		world.stateService.putValue("f/"+job.id, `{"p":"done","n":1}`)
	}
}

// TestCheckerCatchesChains shows that the checker sees what breaks the rules
// of chained jobs, and nothing where they are kept.
func TestCheckerCatchesChains(t *testing.T) {
	start := func(world *World, job *jobRecord) {
		worker := &fakeWorker{world: world, name: "i-a", addr: "i-a", machineType: "small", zone: "a", up: true, assignments: map[string]*taskAssignment{}}
		world.workers[worker.name] = worker
		assignment := &taskAssignment{worker: worker, job: job, name: job.id + "/0", attempt: 1, phase: "running"}
		worker.assignments[assignment.name] = assignment
		world.checker.checkStart(assignment)
	}
	cancel := func(world *World, id string) {
		world.checker.cancelRequests[id] = true
		world.checker.checkAnswer(world.now, id, 200, "cancelled")
	}
	cases := []struct {
		name, want string
		do         func(world *World, first, second, third *jobRecord)
	}{
		{"start before the tasks end", "too_early: req-000003/0 starts on i-a, needs req-000001, before all its tasks are complete", func(world *World, first, second, third *jobRecord) {
			completeJob(world, second, true)
			start(world, third)
		}},
		{"start before the mark", "too_early: req-000002/0 starts on i-a, needs req-000001, before it is marked done", func(world *World, first, second, third *jobRecord) {
			completeJob(world, first, false)
			start(world, second)
		}},
		{"start in turn", "kept", func(world *World, first, second, third *jobRecord) {
			completeJob(world, first, true)
			completeJob(world, second, true)
			start(world, third)
		}},
		{"start below a cancelled one", "too_early: req-000002/0", func(world *World, first, second, third *jobRecord) {
			completeJob(world, first, false)
			cancel(world, first.id)
			world.stateService.putValue("f/"+first.id, `{"p":"cancelled","n":1}`)
			start(world, second)
		}},
		{"called queued for long", "orphaned: req-000003 called queued 26s after req-000001 was cancelled", func(world *World, first, second, third *jobRecord) {
			cancel(world, first.id)
			world.now += 26 * time.Second
			world.checker.checkAnswer(world.now, third.id, 200, "queued")
		}},
		{"called running for long", "orphaned: req-000003 called running", func(world *World, first, second, third *jobRecord) {
			cancel(world, second.id)
			world.now += 26 * time.Second
			world.checker.checkAnswer(world.now, third.id, 200, "running")
		}},
		{"called queued for a while", "kept", func(world *World, first, second, third *jobRecord) {
			cancel(world, first.id)
			world.now += 24 * time.Second
			world.checker.checkAnswer(world.now, third.id, 200, "queued")
			world.checker.checkAnswer(world.now, third.id, 200, "cancelled")
		}},
		{"accepted below a cancelled one", "kept", func(world *World, first, second, third *jobRecord) {
			cancel(world, first.id)
			world.now += time.Minute
			acceptJobAwaiting(world, "req-000004", first.id)
			world.checker.checkAnswer(world.now, "req-000004", 200, "cancelled")
		}},
		{"runs below a cancelled one", "ran_cancelled: req-000002/0 on i-a", func(world *World, first, second, third *jobRecord) {
			completeJob(world, first, true)
			start(world, second)
			cancel(world, first.id)
			world.now += 26 * time.Second
			world.checker.checkInvariants()
		}},
		{"cancelled from below", "went_back: req-000001 cancelled by nobody", func(world *World, first, second, third *jobRecord) {
			cancel(world, second.id)
			world.checker.checkAnswer(world.now, first.id, 200, "cancelled")
		}},
		{"cancelled though it lost", "went_back: req-000002 cancelled by nobody", func(world *World, first, second, third *jobRecord) {
			completeJob(world, first, true)
			world.checker.cancelRequests[first.id] = true
			world.checker.checkAnswer(world.now, first.id, 200, "done")
			world.checker.checkAnswer(world.now, second.id, 200, "cancelled")
		}},
		{"cancelled before it lost", "went_back: req-000002 cancelled by nobody, as req-000001 is done", func(world *World, first, second, third *jobRecord) {
			completeJob(world, first, true)
			world.checker.cancelRequests[first.id] = true
			world.checker.checkAnswer(world.now, second.id, 200, "cancelled")
			world.checker.checkAnswer(world.now, first.id, 200, "done")
		}},
		{"done then queued again", "went_back: req-000002 was cancelled, is queued", func(world *World, first, second, third *jobRecord) {
			cancel(world, first.id)
			world.checker.checkAnswer(world.now, second.id, 200, "cancelled")
			world.checker.checkAnswer(world.now, second.id, 200, "queued")
		}},
		{"accepted with an unknown one", "taken: req-000004 is accepted though it awaits req-000009", func(world *World, first, second, third *jobRecord) {
			acceptJobAwaiting(world, "req-000004", "req-000009")
		}},
		{"accepted with itself", "taken: req-000004 is accepted though it awaits req-000004", func(world *World, first, second, third *jobRecord) {
			acceptJobAwaiting(world, "req-000004", "req-000004")
		}},
		{"accepted with a service", "taken: req-000004 is accepted though it awaits req-000001", func(world *World, first, second, third *jobRecord) {
			first.shape = "daemon"
			acceptJobAwaiting(world, "req-000004", first.id)
		}},
		{"held is not unserved", "kept", func(world *World, first, second, third *jobRecord) {
			first.startedAt = 1
			world.checker.checkServed()
		}},
		{"largest late after it was freed", "not served: largest of c: 1 of 3", func(world *World, first, second, third *jobRecord) {
			first.startedAt = time.Second
			completeJob(world, first, true)
			completeJob(world, second, true)
			world.now = time.Minute
			world.checker.checkInvariants()
			second.startedAt, third.startedAt = 6*time.Minute, 6*time.Minute
			world.checker.checkServed()
		}},
		{"largest in time after it was freed", "kept", func(world *World, first, second, third *jobRecord) {
			first.startedAt = time.Second
			completeJob(world, first, true)
			completeJob(world, second, true)
			world.now = 10 * time.Minute
			world.checker.checkInvariants()
			second.startedAt, third.startedAt = 12*time.Minute, 12*time.Minute
			world.checker.checkServed()
		}},
	}
	for _, c := range cases {
		world := New(1, 1, io.Discard)
		first := acceptJobAwaiting(world, "req-000001")
		second := acceptJobAwaiting(world, "req-000002", "req-000001")
		third := acceptJobAwaiting(world, "req-000003", "req-000002")
		c.do(world, first, second, third)
		if got := world.Verdict(); !strings.Contains(got, c.want) {
			t.Errorf("%s: checker said %q, not %q", c.name, got, c.want)
		}
	}
}

// TestLowering shows that the state service's stand-in keeps what it holds,
// refuses what is new and too large, and whose fault that is.
func TestLowering(t *testing.T) {
	value := func(count int) string { return `"` + strings.Repeat("x", count-2) + `"` }
	commit := func(world *World, ops ...string) int {
		for i, v := range ops {
			ops[i] = `{"write":"k/` + string(rune('a'+i)) + `","data":` + v + `}`
		}
		status, _ := world.stateService.commit([]byte(`{"then":[` + strings.Join(ops, ",") + `]}`))
		return status
	}
	for _, announced := range []bool{false, true} {
		arguments := Arguments{}
		if announced {
			arguments = Arguments{"nextvalue": "2", "nextops": "4", "nextwrites": "15"}
		}
		world := NewWith(Announce(Settings, arguments), 1, 1, io.Discard)
		large := value(3000)
		if got := commit(world, large, "1", "2", "3", "4"); got != 200 {
			t.Fatalf("before: %d", got)
		}
		runCommand(t, world, "limits", Arguments{"value": "2", "ops": "4", "writes": "15"})
		world.Run(10 * time.Second)
		if got := string(world.stateService.keys["k/a"].data); got != large {
			t.Errorf("what was stored is %d bytes", len(got))
		}
		if got := commit(world, value(2048), "1"); got != 200 {
			t.Errorf("within the limits: %d", got)
		}
		if a, b := commit(world, value(2049)), commit(world, "1", "2", "3", "4", "5"); a != 400 || b != 400 || world.stateService.tooLarge != 2 {
			t.Errorf("beyond: %d, %d", a, b)
		}
		if got := world.Verdict() != "kept"; got != announced {
			t.Errorf("announced %v: %s", announced, world.Verdict())
		}
		world.Run(10 * time.Second)
		ok := 0
		for range 10 {
			if commit(world, "1", "2", "3") == 200 {
				ok++
			}
		}
		if ok != 5 || world.stateService.refusedForRate != 5 {
			t.Errorf("%d of 10 writes of three were taken at 15 a second", ok)
		}
		for range 3 * maxRepeats {
			world.Run(100 * time.Millisecond)
			commit(world, large)
		}
		if !strings.Contains(world.Verdict(), "k/a is tried again and again") {
			t.Errorf("endless tries: %s", world.Verdict())
		}
	}
}
