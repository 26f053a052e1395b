package scheduler

import (
	"testing"
	"time"

	"lugward/internal/pipeline"
)

// A job that has waited for its first task for too long gets one before jobs of
// higher priority, and no more than one; a gang, a job that has begun and one at
// fault do not.
func TestStarvingJobBegins(t *testing.T) {
	const (
		tooLong = startLimit + time.Second
		running = `{"t":1,"a":[[0,1,"i-9"]]}`
	)
	for _, c := range []struct {
		what   string
		shape  pipeline.Shape
		waited time.Duration
		record string
		retry  string
		want   int // tasks of it that the round places
	}{
		{"it starves", pipeline.Array, tooLong, "", "", 1},
		{"it has not waited for long", pipeline.Array, startLimit - time.Second, "", "", 0},
		{"it has begun", pipeline.Array, tooLong, running, "", 0},
		{"it is a gang", pipeline.Gang, tooLong, "", "", 0},
		{"it fails everywhere", pipeline.Array, tooLong, "", `{"n":1}`, 0},
	} {
		s := newSite()
		starving := s.job("req-1", func(j *pipeline.Job) { j.Shape, j.TaskCount, j.CPUs = c.shape, 3, 2 })
		s.job("req-2", func(j *pipeline.Job) { j.TaskCount, j.CPUs, j.Priority = 9, 2, pipeline.High })
		s.now = time.Hour
		heartbeat(s.workers, "i-1", s.now)
		starving.ReadySince = s.now - c.waited
		if c.record != "" {
			s.jobs.HandleChange(pipeline.RunKey, "req-1/0", []byte(c.record), 9)
		}
		if c.retry != "" {
			s.jobs.HandleChange(pipeline.RetryKey, "req-1", []byte(c.retry), 9)
		}
		before := starving.ActiveCount()
		s.Round(s.now, nil)
		if got := starving.ActiveCount() - before; got != c.want {
			t.Errorf("%s: %d tasks are placed, not %d", c.what, got, c.want)
		}
		s.Round(s.now, nil)
		if got := starving.ActiveCount() - before; got != c.want {
			t.Errorf("%s: %d tasks after the next round", c.what, got)
		}
	}
}
