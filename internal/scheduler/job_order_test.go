package scheduler

import (
	"testing"
	"time"

	"lugward/internal/pipeline"
	"lugward/internal/record"
)

// Times since a job became ready.
const (
	overdueWait    = startOverdueAfter + time.Second // the start is overdue
	notOverdueWait = startOverdueAfter - time.Second // the start is not overdue yet
)

// overdueTest describes two jobs of the same size, only one of which fits.
type overdueTest struct {
	name              string
	firstShape        pipeline.Shape // shape of the job that became ready first
	firstRunRecord    string         // run record of the first job
	firstIsHigh       bool           // the first job has a higher priority
	secondShape       pipeline.Shape // shape of the second job
	secondRetryRecord string         // retry record of the second job
	secondWaited      time.Duration  // time since the second job became ready
	wantSecondFirst   bool           // want the second job to be scheduled before the first
}

// run checks the scheduling order of the two jobs and which of them a round places.
func (test overdueTest) run(t *testing.T) {
	t.Helper()
	s := newCluster(t)
	first := s.addJob("req-1", func(j *pipeline.Job) {
		j.Shape, j.TaskCount, j.CPUs = test.firstShape, 2, 4
		if test.firstIsHigh {
			j.Priority = pipeline.High
		}
	})
	second := s.addJob("req-2", func(j *pipeline.Job) {
		j.Shape, j.TaskCount, j.CPUs = test.secondShape, 2, 4
	})
	s.advanceTo(time.Hour)
	first.ReadySince = s.now - overdueWait
	second.ReadySince = s.now - test.secondWaited
	if test.firstRunRecord != "" {
		s.setRunRecord("req-1", test.firstRunRecord, 9)
	}
	if test.secondRetryRecord != "" {
		s.setRetryRecord("req-2", test.secondRetryRecord, 9)
	}
	want := "req-1 req-2"
	if test.wantSecondFirst {
		want = "req-2 req-1"
	}
	if got := s.jobOrder(); got != want {
		t.Errorf("job order = %q, want %q", got, want)
	}
	s.runRound()
	if got := second.ActiveCount() == second.TaskCount; got != test.wantSecondFirst {
		t.Errorf("all tasks of the second job placed = %t, want %t", got, test.wantSecondFirst)
	}
}

// A job whose start is overdue is scheduled before the unassigned tasks of a job that has
// started, and gets the free capacity. It is not scheduled before a job of higher
// priority, an incomplete gang, or another overdue job that became ready earlier, unless
// it is a gang itself. A job at fault is never overdue, since it fails on every machine.
func TestOverdueJobGoesFirst(t *testing.T) {
	tests := []overdueTest{
		{
			name:           "the first has started",
			firstRunRecord: firstTaskOnUnknownMachine, secondWaited: overdueWait, wantSecondFirst: true,
		},
		{
			name:           "a task of the first is done",
			firstRunRecord: firstTaskDone, secondWaited: overdueWait, wantSecondFirst: true,
		},
		{
			name:         "neither has started",
			secondWaited: overdueWait,
		},
		{
			name:           "the second is not overdue yet",
			firstRunRecord: firstTaskOnUnknownMachine, secondWaited: notOverdueWait,
		},
		{
			name:           "the first has a higher priority",
			firstRunRecord: firstTaskOnUnknownMachine, firstIsHigh: true, secondWaited: overdueWait,
		},
		{
			name:       "the first is a gang with an unassigned task",
			firstShape: pipeline.Gang, firstRunRecord: firstTaskOnUnknownMachine, secondWaited: overdueWait,
		},
		{
			name:        "neither has started and the second is a gang",
			secondShape: pipeline.Gang, secondWaited: overdueWait, wantSecondFirst: true,
		},
		{
			name:           "the second is at fault",
			firstRunRecord: firstTaskOnUnknownMachine, secondRetryRecord: failedOnce, secondWaited: overdueWait,
		},
		{
			name:           "the second is a gang at fault",
			firstRunRecord: firstTaskOnUnknownMachine, secondShape: pipeline.Gang, secondRetryRecord: failedOnce, secondWaited: overdueWait,
		},
	}
	for _, test := range tests {
		t.Run(test.name, test.run)
	}
}

// A job inherits the highest priority of its downstream jobs, from their submission until
// their cancellation. Held jobs are not part of the order.
func TestOrderByInheritedPriority(t *testing.T) {
	s := newCluster(t)
	s.addJob("req-1", nil)
	s.addJob("req-2", func(j *pipeline.Job) { j.Priority = pipeline.Idle })
	if got := s.jobOrder(); got != "req-1 req-2" {
		t.Errorf("job order without downstream jobs = %q, want \"req-1 req-2\"", got)
	}
	s.addJob("req-3", withUpstream("req-2", pipeline.Idle, 0))
	s.addJob("req-4", withUpstream("req-3", pipeline.High, 0))
	if got := s.jobOrder(); got != "req-2 req-1" {
		t.Errorf("job order with a downstream job of high priority = %q, want \"req-2 req-1\"", got)
	}
	s.revision++
	s.jobs.HandleChange(record.KindTerminal, "req-4", pipeline.EncodeTerminal(pipeline.Cancelled, s.jobs.Job("req-4")), s.revision)
	if got := s.jobOrder(); got != "req-1 req-2" {
		t.Errorf("job order after that job is cancelled = %q, want \"req-1 req-2\"", got)
	}
}

// Jobs of equal priority and precedence are scheduled in the order of readiness, except
// that a job of a pipeline whose deadline is at risk goes first.
func TestOrderByDeadlineAtRisk(t *testing.T) {
	s := newCluster(t)
	s.addJob("req-1", nil)
	s.addJob("req-2", func(j *pipeline.Job) { j.Deadline = 1 }) // not part of a pipeline
	s.addJob("req-3", nil)
	s.addJob("req-4", nil)
	s.addJob("req-5", withUpstream("req-3", pipeline.Normal, 1000))
	if got := s.jobOrder(); got != "req-1 req-2 req-3 req-4" {
		t.Errorf("job order with a distant deadline = %q, want \"req-1 req-2 req-3 req-4\"", got)
	}
	s.addJob("req-6", withUpstream("req-5", pipeline.Normal, 70))
	// Of the 70 s, 20 s are needed by the two downstream jobs. That leaves 50 s for
	// req-3, which takes 10 s.
	if got := s.jobOrder(); got != "req-1 req-2 req-3 req-4" {
		t.Errorf("job order with enough time left = %q, want \"req-1 req-2 req-3 req-4\"", got)
	}
	s.now += 11 * time.Second
	if got := s.jobOrder(); got != "req-3 req-1 req-2 req-4" {
		t.Errorf("job order with the deadline at risk = %q, want \"req-3 req-1 req-2 req-4\"", got)
	}
	s.addJob("req-7", func(j *pipeline.Job) { j.Priority = pipeline.High })
	if got := s.jobOrder(); got != "req-7 req-3 req-1 req-2 req-4" {
		t.Errorf("job order with a job of high priority = %q, want \"req-7 req-3 req-1 req-2 req-4\"", got)
	}
}
