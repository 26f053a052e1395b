package autoscaler

import (
	"testing"

	"lugward/internal/event"
	"lugward/internal/pipeline"
)

// Short tasks without a deadline share slots, so that no machine is provisioned for work
// that ends before the machine has booted.
func TestSlotsForShortTasks(t *testing.T) {
	const breakEvenSeconds = 40 // boot time plus idle time
	for _, test := range []struct {
		name     string
		shape    pipeline.Shape
		deadline event.Time
		jobs     int
		waiting  int
		runtime  float64
		want     int
	}{
		{name: "tasks longer than boot and idle time", shape: pipeline.Array, deadline: pipeline.NoDeadline, jobs: 1, waiting: 1000, runtime: 90, want: 1000},
		{name: "tasks of unknown runtime", shape: pipeline.Array, deadline: pipeline.NoDeadline, jobs: 1, waiting: 1000, runtime: 0, want: 1000},
		{name: "ten waves", shape: pipeline.Array, deadline: pipeline.NoDeadline, jobs: 1, waiting: 1000, runtime: 2, want: 100},
		{name: "ten jobs share a slot", shape: pipeline.Array, deadline: pipeline.NoDeadline, jobs: 10, waiting: 1, runtime: 2, want: 1},
		{name: "eleven jobs need another", shape: pipeline.Array, deadline: pipeline.NoDeadline, jobs: 11, waiting: 1, runtime: 2, want: 2},
		{name: "tasks with a deadline", shape: pipeline.Array, deadline: 1, jobs: 1, waiting: 1000, runtime: 2, want: 1000},
		{name: "gang tasks run simultaneously", shape: pipeline.Gang, deadline: pipeline.NoDeadline, jobs: 1, waiting: 10, runtime: 2, want: 10},
	} {
		t.Run(test.name, func(t *testing.T) {
			waves := taskWaves{}
			got := 0
			for range test.jobs {
				job := &pipeline.Job{Spec: pipeline.Spec{Shape: test.shape, TaskCount: test.waiting}}
				job.EffectiveDeadline = test.deadline
				got += waves.slots(job, test.waiting, breakEvenSeconds, test.runtime)
			}
			if got != test.want {
				t.Errorf("slots returned %d in total, want %d", got, test.want)
			}
		})
	}
}
