package scheduler

import (
	"testing"
	"time"

	"lugward/internal/pipeline"
)

// A job that has waited for long without having begun goes before the open tasks
// of one that has, in the order and for the capacity that there is; not before a
// higher priority, a gang whose rest waits, or another that has not begun and was
// ready earlier, unless it is a gang itself. One that fails wherever it is tried
// gains nothing by waiting.
func TestNotBegunGoesFirst(t *testing.T) {
	const (
		justNow = maxStartDelay - time.Second
		longAgo = maxStartDelay + time.Second
		running = `{"t":1,"a":[[0,1,"i-9"]]}`
		done    = `{"t":1,"d":"AQ"}`
		failing = `{"n":1}`
	)
	for _, c := range []struct {
		what          string
		record        string // of the tasks of the job that was ready first
		retry         string // of the second
		priority      pipeline.Priority
		first, second pipeline.Shape
		waited        time.Duration // of the second
		secondIsNext  bool
	}{
		{"the first has begun", running, "", pipeline.Normal, pipeline.Array, pipeline.Array, longAgo, true},
		{"a task of the first is done", done, "", pipeline.Normal, pipeline.Array, pipeline.Array, longAgo, true},
		{"neither has begun", "", "", pipeline.Normal, pipeline.Array, pipeline.Array, longAgo, false},
		{"not for long", running, "", pipeline.Normal, pipeline.Array, pipeline.Array, justNow, false},
		{"the first has a higher priority", running, "", pipeline.High, pipeline.Array, pipeline.Array, longAgo, false},
		{"the first is a gang whose rest waits", running, "", pipeline.Normal, pipeline.Gang, pipeline.Array, longAgo, false},
		{"neither has begun, the second is a gang", "", "", pipeline.Normal, pipeline.Array, pipeline.Gang, longAgo, true},
		{"the second fails", running, failing, pipeline.Normal, pipeline.Array, pipeline.Array, longAgo, false},
		{"the second is a gang that fails", running, failing, pipeline.Normal, pipeline.Array, pipeline.Gang, longAgo, false},
	} {
		s := newSite()
		first := s.job("req-1", func(j *pipeline.Job) { j.Shape, j.TaskCount, j.CPUs, j.Priority = c.first, 2, 4, c.priority })
		second := s.job("req-2", func(j *pipeline.Job) { j.Shape, j.TaskCount, j.CPUs = c.second, 2, 4 })
		s.now = time.Hour
		heartbeat(s.workers, "i-1", s.now)
		first.ReadySince, second.ReadySince = s.now-longAgo, s.now-c.waited
		if c.record != "" {
			s.jobs.HandleChange(pipeline.RunKey, "req-1/0", []byte(c.record), 9)
		}
		if c.retry != "" {
			s.jobs.HandleChange(pipeline.RetryKey, "req-2", []byte(c.retry), 9)
		}
		want := "req-1 req-2"
		if c.secondIsNext {
			want = "req-2 req-1"
		}
		if got := s.order(); got != want {
			t.Errorf("%s: order %s, not %s", c.what, got, want)
		}
		s.Round(s.now, nil)
		if got := second.ActiveCount() == second.TaskCount; got != c.secondIsNext {
			t.Errorf("%s: all of the second is placed: %v", c.what, got)
		}
	}
}
