package scheduler

import (
	"testing"
	"time"

	"lugward/internal/pipeline"
)

// A starved job gets one task, and only one, before jobs of higher priority. A gang, a
// job that has started and a job at fault do not.
func TestStarvedJobStarts(t *testing.T) {
	const tooLong = starvedAfter + time.Second
	tests := []struct {
		name   string
		shape  pipeline.Shape
		waited time.Duration
		run    string // run record of the job
		retry  string // retry record of the job
		want   int    // tasks of the job that the round places
	}{
		{name: "starved", waited: tooLong, want: 1},
		{name: "not starved yet", waited: starvedAfter - time.Second},
		{name: "started", waited: tooLong, run: firstTaskOnUnknownMachine},
		{name: "gang", waited: tooLong, shape: pipeline.Gang},
		{name: "at fault", waited: tooLong, retry: failedOnce},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := newCluster(t)
			job := s.addJob("req-1", func(j *pipeline.Job) { j.Shape, j.TaskCount, j.CPUs = test.shape, 3, 2 })
			s.addJob("req-2", func(j *pipeline.Job) { j.TaskCount, j.CPUs, j.Priority = 9, 2, pipeline.High })
			s.advanceTo(time.Hour)
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
				t.Errorf("first round placed %d tasks, want %d", got, test.want)
			}
			s.runRound()
			if got := job.ActiveCount() - before; got != test.want {
				t.Errorf("%d tasks placed after the second round, want %d", got, test.want)
			}
		})
	}
}
