package scheduler

import (
	"testing"
	"time"

	"lugward/internal/pipeline"
	"lugward/internal/record"
)

// A job that has been ready for long and has not started goes before the waiting
// tasks of one that has, in the order and for the capacity that there is; not before a
// higher priority, a gang whose rest waits, or another that has not started and became
// ready earlier, unless it is a gang itself. One that fails wherever it is tried gains
// nothing by waiting.
func TestOverdueJobGoesFirst(t *testing.T) {
	const (
		justNow = startOverdueAfter - time.Second
		longAgo = startOverdueAfter + time.Second
	)
	tests := []struct {
		name         string
		firstRun     string // run record of the job that became ready first
		secondRetry  string // retry record of the other
		priority     pipeline.Priority
		first        pipeline.Shape
		second       pipeline.Shape
		secondWaited time.Duration
		secondFirst  bool // the second one goes first
	}{
		{"the first has started", firstTaskElsewhere, "", pipeline.Normal, pipeline.Array, pipeline.Array, longAgo, true},
		{"a task of the first is done", firstTaskDone, "", pipeline.Normal, pipeline.Array, pipeline.Array, longAgo, true},
		{"neither has started", "", "", pipeline.Normal, pipeline.Array, pipeline.Array, longAgo, false},
		{"the second has not waited for long", firstTaskElsewhere, "", pipeline.Normal, pipeline.Array, pipeline.Array, justNow, false},
		{"the first has a higher priority", firstTaskElsewhere, "", pipeline.High, pipeline.Array, pipeline.Array, longAgo, false},
		{"the first is a gang whose rest waits", firstTaskElsewhere, "", pipeline.Normal, pipeline.Gang, pipeline.Array, longAgo, false},
		{"neither has started and the second is a gang", "", "", pipeline.Normal, pipeline.Array, pipeline.Gang, longAgo, true},
		{"the second is at fault", firstTaskElsewhere, failedOnce, pipeline.Normal, pipeline.Array, pipeline.Array, longAgo, false},
		{"the second is a gang at fault", firstTaskElsewhere, failedOnce, pipeline.Normal, pipeline.Array, pipeline.Gang, longAgo, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := newSite(t)
			first := s.addJob("req-1", func(j *pipeline.Job) {
				j.Shape, j.TaskCount, j.CPUs, j.Priority = test.first, 2, 4, test.priority
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
		})
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
