package simtest

import (
	"io"
	"strings"
	"testing"
	"time"
)

// acceptJob adds an accepted job of one task with the given upstream jobs.
func acceptJob(world *World, id string, upstream ...string) *jobRecord {
	job := submittedJob(id, 1)
	job.upstream = upstream
	world.jobs[id] = job
	world.checker.checkAnswer(world.now, id, 201, "queued")
	return job
}

// completeJob completes all tasks of a job and, if withRecord is set, stores its done record.
func completeJob(world *World, job *jobRecord, withRecord bool) {
	for i := range job.taskCount {
		job.completed[i] = true
	}
	if withRecord {
		world.stateService.putTerminalRecord(job.id, jobDone)
	}
}

// jobChain is a chain of three accepted jobs: the first is upstream of the second, and the
// second of the third.
type jobChain struct {
	world                *World
	first, second, third *jobRecord
}

func newJobChain() *jobChain {
	chain := &jobChain{world: New(1, 1, io.Discard)}
	chain.first = acceptJob(chain.world, "req-000001")
	chain.second = acceptJob(chain.world, "req-000002", "req-000001")
	chain.third = acceptJob(chain.world, "req-000003", "req-000002")
	return chain
}

// start starts the only task of a job on a machine.
func (chain *jobChain) start(job *jobRecord) {
	startOnNewMachine(chain.world, job, 0, smallMachine("i-a", "a"))
}

// cancel requests and acknowledges the cancellation of a job.
func (chain *jobChain) cancel(job *jobRecord) {
	chain.world.checker.cancelRequests[job.id] = true
	chain.world.checker.checkAnswer(chain.world.now, job.id, 200, jobCancelled)
}

// upstreamCases are events in a chain of jobs and the verdicts of the checker.
var upstreamCases = []struct {
	name, want string
	act        func(chain *jobChain)
}{
	{
		name: "start before all upstream tasks completed",
		want: "task started before its upstream jobs were done: task req-000003/0 starts on i-a, upstream job req-000001 is not done: not all of its tasks have completed",
		act: func(chain *jobChain) {
			completeJob(chain.world, chain.second, true)
			chain.start(chain.third)
		},
	},
	{
		name: "start before the upstream done record",
		want: "task started before its upstream jobs were done: task req-000002/0 starts on i-a, upstream job req-000001 is not done: the state service has no done record of it",
		act: func(chain *jobChain) {
			completeJob(chain.world, chain.first, false)
			chain.start(chain.second)
		},
	},
	{
		name: "start after all upstream jobs are done",
		want: "kept",
		act: func(chain *jobChain) {
			completeJob(chain.world, chain.first, true)
			completeJob(chain.world, chain.second, true)
			chain.start(chain.third)
		},
	},
	{
		name: "start downstream of a cancelled job",
		want: "task started before its upstream jobs were done: task req-000002/0",
		act: func(chain *jobChain) {
			completeJob(chain.world, chain.first, false)
			chain.cancel(chain.first)
			chain.world.stateService.putTerminalRecord(chain.first.id, jobCancelled)
			chain.start(chain.second)
		},
	},
	{
		name: "queued too long after an upstream cancellation",
		want: "downstream job not cancelled in time: job req-000003 was reported as queued 26s after the acknowledged cancellation of upstream job req-000001",
		act: func(chain *jobChain) {
			chain.cancel(chain.first)
			chain.world.now += 26 * time.Second
			chain.world.checker.checkAnswer(chain.world.now, chain.third.id, 200, "queued")
		},
	},
	{
		name: "running too long after an upstream cancellation",
		want: "downstream job not cancelled in time: job req-000003 was reported as running",
		act: func(chain *jobChain) {
			chain.cancel(chain.second)
			chain.world.now += 26 * time.Second
			chain.world.checker.checkAnswer(chain.world.now, chain.third.id, 200, "running")
		},
	},
	{
		name: "queued shortly after an upstream cancellation",
		want: "kept",
		act: func(chain *jobChain) {
			chain.cancel(chain.first)
			chain.world.now += 24 * time.Second
			chain.world.checker.checkAnswer(chain.world.now, chain.third.id, 200, "queued")
			chain.world.checker.checkAnswer(chain.world.now, chain.third.id, 200, "cancelled")
		},
	},
	{
		name: "accepted downstream of a cancelled job",
		want: "kept",
		act: func(chain *jobChain) {
			chain.cancel(chain.first)
			chain.world.now += time.Minute
			acceptJob(chain.world, "req-000004", chain.first.id)
			chain.world.checker.checkAnswer(chain.world.now, "req-000004", 200, "cancelled")
		},
	},
	{
		name: "runs downstream of a cancelled job",
		want: "cancelled task not stopped in time: task req-000002/0 executes on i-a",
		act: func(chain *jobChain) {
			completeJob(chain.world, chain.first, true)
			chain.start(chain.second)
			chain.cancel(chain.first)
			chain.world.now += 26 * time.Second
			chain.world.checker.checkInvariants()
		},
	},
	{
		name: "cancelled by a downstream cancellation",
		want: "job cancelled without request: job req-000001 was reported as cancelled",
		act: func(chain *jobChain) {
			chain.cancel(chain.second)
			chain.world.checker.checkAnswer(chain.world.now, chain.first.id, 200, "cancelled")
		},
	},
	{
		name: "cancelled after the upstream job was done",
		want: "job cancelled without request: job req-000002 was reported as cancelled, no cancellation",
		act: func(chain *jobChain) {
			completeJob(chain.world, chain.first, true)
			chain.world.checker.cancelRequests[chain.first.id] = true
			chain.world.checker.checkAnswer(chain.world.now, chain.first.id, 200, "done")
			chain.world.checker.checkAnswer(chain.world.now, chain.second.id, 200, "cancelled")
		},
	},
	{
		name: "cancelled before the upstream job was done",
		want: "job cancelled without request: job req-000002 was reported as cancelled, but its upstream job req-000001 was reported as done and no other upstream cancellation is pending",
		act: func(chain *jobChain) {
			completeJob(chain.world, chain.first, true)
			chain.world.checker.cancelRequests[chain.first.id] = true
			chain.world.checker.checkAnswer(chain.world.now, chain.second.id, 200, "cancelled")
			chain.world.checker.checkAnswer(chain.world.now, chain.first.id, 200, "done")
		},
	},
	{
		name: "cancelled then queued again",
		want: "terminal phase changed: job req-000002 was reported as cancelled before, now as queued",
		act: func(chain *jobChain) {
			chain.cancel(chain.first)
			chain.world.checker.checkAnswer(chain.world.now, chain.second.id, 200, "cancelled")
			chain.world.checker.checkAnswer(chain.world.now, chain.second.id, 200, "queued")
		},
	},
	{
		name: "accepted with an unknown upstream job",
		want: "job with invalid upstream accepted: submission of job req-000004 got status 201, want refusal as upstream job req-000009",
		act: func(chain *jobChain) {
			acceptJob(chain.world, "req-000004", "req-000009")
		},
	},
	{
		name: "accepted with itself as upstream job",
		want: "job with invalid upstream accepted: submission of job req-000004 got status 201, want refusal as upstream job req-000004",
		act: func(chain *jobChain) {
			acceptJob(chain.world, "req-000004", "req-000004")
		},
	},
	{
		name: "accepted with a daemon as upstream job",
		want: "job with invalid upstream accepted: submission of job req-000004 got status 201, want refusal as upstream job req-000001",
		act: func(chain *jobChain) {
			chain.first.shape = "daemon"
			acceptJob(chain.world, "req-000004", chain.first.id)
		},
	},
	{
		name: "jobs that wait for upstream jobs are left out",
		want: "kept",
		act: func(chain *jobChain) {
			chain.first.startedAt = 1
			chain.world.checker.checkServed()
		},
	},
	{
		name: "largest jobs start too late after their upstream jobs",
		want: "less than half of a group of jobs ran: largest of c: 1 of 3",
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
		name: "largest jobs start in time after their upstream jobs",
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

// TestCheckerCatchesChains checks that the checker reports violations of the invariants of
// chained jobs, and nothing where the invariants hold.
func TestCheckerCatchesChains(t *testing.T) {
	for _, test := range upstreamCases {
		t.Run(test.name, func(t *testing.T) {
			chain := newJobChain()
			test.act(chain)
			if got := chain.world.Verdict(); !strings.Contains(got, test.want) {
				t.Errorf("Verdict() = %q, want it to contain %q", got, test.want)
			}
		})
	}
}
