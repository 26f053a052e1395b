package scheduler

import (
	"testing"
	"time"

	"lugward/internal/pipeline"
	"lugward/internal/record"
)

// How long ago a job became ready, for one whose start is overdue and for one whose is
// not yet.
const (
	longAgo = startOverdueAfter + time.Second
	justNow = startOverdueAfter - time.Second
)

// overdueTest describes two jobs of the same size, of which only one fits.
type overdueTest struct {
	name         string
	first        pipeline.Shape // of the job that became ready first
	firstRun     string         // its run record
	firstIsHigh  bool           // it has a higher priority
	second       pipeline.Shape // of the other job
	secondRetry  string         // its retry record
	secondWaited time.Duration
	secondFirst  bool // it goes first
}

// run checks which of the jobs goes first, in the order and in a round.
func (test overdueTest) run(t *testing.T) {
	t.Helper()
	s := newSite(t)
	first := s.addJob("req-1", func(j *pipeline.Job) {
		j.Shape, j.TaskCount, j.CPUs = test.first, 2, 4
		if test.firstIsHigh {
			j.Priority = pipeline.High
		}
	})
	second := s.addJob("req-2", func(j *pipeline.Job) {
		j.Shape, j.TaskCount, j.CPUs = test.second, 2, 4
	})
	s.setTime(time.Hour)
	first.ReadySince = s.now - longAgo
	second.ReadySince = s.now - test.secondWaited
	if test.firstRun != "" {
		s.setRunRecord("req-1", test.firstRun, 9)
	}
	if test.secondRetry != "" {
		s.setRetryRecord("req-2", test.secondRetry, 9)
	}
	want := "req-1 req-2"
	if test.secondFirst {
		want = "req-2 req-1"
	}
	if got := s.jobOrder(); got != want {
		t.Errorf("order %s, not %s", got, want)
	}
	s.runRound()
	if got := second.ActiveCount() == second.TaskCount; got != test.secondFirst {
		t.Errorf("all of the second is placed: %v", got)
	}
}

// A job that has been ready for long and has not started goes before the waiting
// tasks of one that has, in the order and for the capacity that there is; not before a
// higher priority, a gang whose rest waits, or another that has not started and became
// ready earlier, unless it is a gang itself. One that fails wherever it is tried gains
// nothing by waiting.
func TestOverdueJobGoesFirst(t *testing.T) {
	tests := []overdueTest{
		{
			name:     "the first has started",
			firstRun: firstTaskElsewhere, secondWaited: longAgo, secondFirst: true,
		},
		{
			name:     "a task of the first is done",
			firstRun: firstTaskDone, secondWaited: longAgo, secondFirst: true,
		},
		{
			name:         "neither has started",
			secondWaited: longAgo,
		},
		{
			name:     "the second has not waited for long",
			firstRun: firstTaskElsewhere, secondWaited: justNow,
		},
		{
			name:     "the first has a higher priority",
			firstRun: firstTaskElsewhere, firstIsHigh: true, secondWaited: longAgo,
		},
		{
			name:  "the first is a gang whose rest waits",
			first: pipeline.Gang, firstRun: firstTaskElsewhere, secondWaited: longAgo,
		},
		{
			name:   "neither has started and the second is a gang",
			second: pipeline.Gang, secondWaited: longAgo, secondFirst: true,
		},
		{
			name:     "the second is at fault",
			firstRun: firstTaskElsewhere, secondRetry: failedOnce, secondWaited: longAgo,
		},
		{
			name:     "the second is a gang at fault",
			firstRun: firstTaskElsewhere, second: pipeline.Gang, secondRetry: failedOnce, secondWaited: longAgo,
		},
	}
	for _, test := range tests {
		t.Run(test.name, test.run)
	}
}

// A job has the priority of the most important job downstream of it, from when that
// is submitted until it is cancelled; a held job is not ordered.
func TestOrderByInheritedPriority(t *testing.T) {
	s := newSite(t)
	s.addJob("req-1", nil)
	s.addJob("req-2", func(j *pipeline.Job) { j.Priority = pipeline.Idle })
	if got := s.jobOrder(); got != "req-1 req-2" {
		t.Errorf("without downstream jobs: %s", got)
	}
	s.addJob("req-3", heldBy("req-2", pipeline.Idle, 0))
	s.addJob("req-4", heldBy("req-3", pipeline.High, 0))
	if got := s.jobOrder(); got != "req-2 req-1" {
		t.Errorf("with the last of the pipeline: %s", got)
	}
	s.revision++
	s.jobs.HandleChange(record.KindTerminal, "req-4", pipeline.EncodeTerminal(pipeline.Cancelled, s.jobs.Job("req-4")), s.revision)
	if got := s.jobOrder(); got != "req-1 req-2" {
		t.Errorf("once that is cancelled: %s", got)
	}
}

// Within equal priority and precedence the order of readiness stays, except for a job
// of a pipeline whose deadline is at risk.
func TestOrderByDeadlineAtRisk(t *testing.T) {
	s := newSite(t)
	s.addJob("req-1", nil)
	s.addJob("req-2", func(j *pipeline.Job) { j.Deadline = 1 }) // not of a pipeline
	s.addJob("req-3", nil)
	s.addJob("req-4", nil)
	s.addJob("req-5", heldBy("req-3", pipeline.Normal, 1000))
	if got := s.jobOrder(); got != "req-1 req-2 req-3 req-4" {
		t.Errorf("with time left: %s", got)
	}
	s.addJob("req-6", heldBy("req-5", pipeline.Normal, 70))
	// 70 s less twice 10 s for those that follow are left for its 10 s.
	if got := s.jobOrder(); got != "req-1 req-2 req-3 req-4" {
		t.Errorf("with enough left: %s", got)
	}
	s.now += 11 * time.Second
	if got := s.jobOrder(); got != "req-3 req-1 req-2 req-4" {
		t.Errorf("with little left: %s", got)
	}
	s.addJob("req-7", func(j *pipeline.Job) { j.Priority = pipeline.High })
	if got := s.jobOrder(); got != "req-7 req-3 req-1 req-2 req-4" {
		t.Errorf("beside a higher priority: %s", got)
	}
}
