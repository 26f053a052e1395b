package simtest

import (
	"io"
	"strings"
	"testing"
	"time"
)

// acceptJobAwaiting adds a job of one task that needs others, accepted.
func acceptJobAwaiting(world *World, id string, awaits ...string) *jobRecord {
	job := submittedJob(id, 1)
	job.upstream = awaits
	world.jobs[id] = job
	world.checker.checkAnswer(world.now, id, 201, "queued")
	return job
}

// completeJob lets all tasks of a job complete and, if it is to be marked, stores the record that it is done.
func completeJob(world *World, job *jobRecord, marked bool) {
	for i := range job.taskCount {
		job.completed[i] = true
	}
	if marked {
		world.stateService.putTerminalRecord(job.id, jobDone)
	}
}

// jobChain is three accepted jobs of which each needs the one before.
type jobChain struct {
	world                *World
	first, second, third *jobRecord
}

func newJobChain() *jobChain {
	chain := &jobChain{world: New(1, 1, io.Discard)}
	chain.first = acceptJobAwaiting(chain.world, "req-000001")
	chain.second = acceptJobAwaiting(chain.world, "req-000002", "req-000001")
	chain.third = acceptJobAwaiting(chain.world, "req-000003", "req-000002")
	return chain
}

// start lets the only task of a job start on a machine.
func (chain *jobChain) start(job *jobRecord) {
	startOnNewMachine(chain.world, job, 0, smallMachine("i-a", "a"))
}

// cancel cancels a job and acknowledges that.
func (chain *jobChain) cancel(job *jobRecord) {
	chain.world.checker.cancelRequests[job.id] = true
	chain.world.checker.checkAnswer(chain.world.now, job.id, 200, jobCancelled)
}

// upstreamCases are what happens to a chain of jobs, and what the checker says of it.
var upstreamCases = []struct {
	name, want string
	act        func(chain *jobChain)
}{
	{
		name: "start before the tasks end",
		want: "too_early: req-000003/0 starts on i-a, needs req-000001, before all its tasks are complete",
		act: func(chain *jobChain) {
			completeJob(chain.world, chain.second, true)
			chain.start(chain.third)
		},
	},
	{
		name: "start before the done record",
		want: "too_early: req-000002/0 starts on i-a, needs req-000001, before it is marked done",
		act: func(chain *jobChain) {
			completeJob(chain.world, chain.first, false)
			chain.start(chain.second)
		},
	},
	{
		name: "start in turn",
		want: "kept",
		act: func(chain *jobChain) {
			completeJob(chain.world, chain.first, true)
			completeJob(chain.world, chain.second, true)
			chain.start(chain.third)
		},
	},
	{
		name: "start below a cancelled one",
		want: "too_early: req-000002/0",
		act: func(chain *jobChain) {
			completeJob(chain.world, chain.first, false)
			chain.cancel(chain.first)
			chain.world.stateService.putTerminalRecord(chain.first.id, jobCancelled)
			chain.start(chain.second)
		},
	},
	{
		name: "called queued for long",
		want: "orphaned: req-000003 called queued 26s after req-000001 was cancelled",
		act: func(chain *jobChain) {
			chain.cancel(chain.first)
			chain.world.now += 26 * time.Second
			chain.world.checker.checkAnswer(chain.world.now, chain.third.id, 200, "queued")
		},
	},
	{
		name: "called running for long",
		want: "orphaned: req-000003 called running",
		act: func(chain *jobChain) {
			chain.cancel(chain.second)
			chain.world.now += 26 * time.Second
			chain.world.checker.checkAnswer(chain.world.now, chain.third.id, 200, "running")
		},
	},
	{
		name: "called queued for a while",
		want: "kept",
		act: func(chain *jobChain) {
			chain.cancel(chain.first)
			chain.world.now += 24 * time.Second
			chain.world.checker.checkAnswer(chain.world.now, chain.third.id, 200, "queued")
			chain.world.checker.checkAnswer(chain.world.now, chain.third.id, 200, "cancelled")
		},
	},
	{
		name: "accepted below a cancelled one",
		want: "kept",
		act: func(chain *jobChain) {
			chain.cancel(chain.first)
			chain.world.now += time.Minute
			acceptJobAwaiting(chain.world, "req-000004", chain.first.id)
			chain.world.checker.checkAnswer(chain.world.now, "req-000004", 200, "cancelled")
		},
	},
	{
		name: "runs below a cancelled one",
		want: "ran_cancelled: req-000002/0 on i-a",
		act: func(chain *jobChain) {
			completeJob(chain.world, chain.first, true)
			chain.start(chain.second)
			chain.cancel(chain.first)
			chain.world.now += 26 * time.Second
			chain.world.checker.checkInvariants()
		},
	},
	{
		name: "cancelled from below",
		want: "went_back: req-000001 cancelled by nobody",
		act: func(chain *jobChain) {
			chain.cancel(chain.second)
			chain.world.checker.checkAnswer(chain.world.now, chain.first.id, 200, "cancelled")
		},
	},
	{
		name: "cancelled though it lost",
		want: "went_back: req-000002 cancelled by nobody",
		act: func(chain *jobChain) {
			completeJob(chain.world, chain.first, true)
			chain.world.checker.cancelRequests[chain.first.id] = true
			chain.world.checker.checkAnswer(chain.world.now, chain.first.id, 200, "done")
			chain.world.checker.checkAnswer(chain.world.now, chain.second.id, 200, "cancelled")
		},
	},
	{
		name: "cancelled before it lost",
		want: "went_back: req-000002 cancelled by nobody, as req-000001 is done",
		act: func(chain *jobChain) {
			completeJob(chain.world, chain.first, true)
			chain.world.checker.cancelRequests[chain.first.id] = true
			chain.world.checker.checkAnswer(chain.world.now, chain.second.id, 200, "cancelled")
			chain.world.checker.checkAnswer(chain.world.now, chain.first.id, 200, "done")
		},
	},
	{
		name: "done then queued again",
		want: "went_back: req-000002 was cancelled, is queued",
		act: func(chain *jobChain) {
			chain.cancel(chain.first)
			chain.world.checker.checkAnswer(chain.world.now, chain.second.id, 200, "cancelled")
			chain.world.checker.checkAnswer(chain.world.now, chain.second.id, 200, "queued")
		},
	},
	{
		name: "accepted with an unknown one",
		want: "taken: req-000004 is accepted though it awaits req-000009",
		act: func(chain *jobChain) {
			acceptJobAwaiting(chain.world, "req-000004", "req-000009")
		},
	},
	{
		name: "accepted with itself",
		want: "taken: req-000004 is accepted though it awaits req-000004",
		act: func(chain *jobChain) {
			acceptJobAwaiting(chain.world, "req-000004", "req-000004")
		},
	},
	{
		name: "accepted with a service",
		want: "taken: req-000004 is accepted though it awaits req-000001",
		act: func(chain *jobChain) {
			chain.first.shape = "daemon"
			acceptJobAwaiting(chain.world, "req-000004", chain.first.id)
		},
	},
	{
		name: "held is not unserved",
		want: "kept",
		act: func(chain *jobChain) {
			chain.first.startedAt = 1
			chain.world.checker.checkServed()
		},
	},
	{
		name: "largest late after it was freed",
		want: "not served: largest of c: 1 of 3",
		act: func(chain *jobChain) {
			chain.first.startedAt = time.Second
			completeJob(chain.world, chain.first, true)
			completeJob(chain.world, chain.second, true)
			chain.world.now = time.Minute
			chain.world.checker.checkInvariants()
			chain.second.startedAt, chain.third.startedAt = 6*time.Minute, 6*time.Minute
			chain.world.checker.checkServed()
		},
	},
	{
		name: "largest in time after it was freed",
		want: "kept",
		act: func(chain *jobChain) {
			chain.first.startedAt = time.Second
			completeJob(chain.world, chain.first, true)
			completeJob(chain.world, chain.second, true)
			chain.world.now = 10 * time.Minute
			chain.world.checker.checkInvariants()
			chain.second.startedAt, chain.third.startedAt = 12*time.Minute, 12*time.Minute
			chain.world.checker.checkServed()
		},
	},
}

// TestCheckerCatchesChains shows that the checker sees what breaks the rules
// of chained jobs, and nothing where they are kept.
func TestCheckerCatchesChains(t *testing.T) {
	for _, test := range upstreamCases {
		t.Run(test.name, func(t *testing.T) {
			chain := newJobChain()
			test.act(chain)
			if got := chain.world.Verdict(); !strings.Contains(got, test.want) {
				t.Errorf("checker said %q, not %q", got, test.want)
			}
		})
	}
}
