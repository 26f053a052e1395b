package scheduler

import (
	"testing"
	"time"

	"lugward/internal/pipeline"
)

// A job that has waited for its first task for too long gets one before jobs of
// higher priority, and no more than one; a gang, a job that has started and one at
// fault do not.
func TestStarvedJobStarts(t *testing.T) {
	const tooLong = starvedAfter + time.Second
	tests := []struct {
		name   string
		shape  pipeline.Shape
		waited time.Duration
		run    string // its run record
		retry  string // its retry record
		want   int    // tasks of it that the round places
	}{
		{name: "starved", waited: tooLong, want: 1},
		{name: "not waited for long", waited: starvedAfter - time.Second},
		{name: "started", waited: tooLong, run: firstTaskElsewhere},
		{name: "gang", waited: tooLong, shape: pipeline.Gang},
		{name: "at fault", waited: tooLong, retry: failedOnce},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := newSite(t)
			job := s.addJob("req-1", func(j *pipeline.Job) { j.Shape, j.TaskCount, j.CPUs = test.shape, 3, 2 })
			s.addJob("req-2", func(j *pipeline.Job) { j.TaskCount, j.CPUs, j.Priority = 9, 2, pipeline.High })
			s.setTime(time.Hour)
			job.ReadySince = s.now - test.waited
			if test.run != "" {
				s.setRunRecord("req-1", test.run, 9)
			}
			if test.retry != "" {
				s.setRetryRecord("req-1", test.retry, 9)
			}
			before := job.ActiveCount()
			s.runRound()
			if got := job.ActiveCount() - before; got != test.want {
				t.Errorf("%d tasks are placed, not %d", got, test.want)
			}
			s.runRound()
			if got := job.ActiveCount() - before; got != test.want {
				t.Errorf("%d tasks after the next round, not %d", got, test.want)
			}
		})
	}
}
