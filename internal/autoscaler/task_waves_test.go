package autoscaler

import (
	"testing"

	"lugward/internal/event"
	"lugward/internal/pipeline"
)

// Short tasks without a deadline share slots on the machines that are provisioned for
// them; nothing is provisioned for work that is over before it has booted.
func TestSlotsForShortTasks(t *testing.T) {
	const seconds = 40 // of booting and idling
	for _, test := range []struct {
		name     string
		shape    pipeline.Shape
		deadline event.Time
		jobs     int
		waiting  int
		runtime  float64
		want     int
	}{
		{name: "tasks longer than that", shape: pipeline.Array, deadline: pipeline.NoDeadline, jobs: 1, waiting: 1000, runtime: 90, want: 1000},
		{name: "tasks of unknown length", shape: pipeline.Array, deadline: pipeline.NoDeadline, jobs: 1, waiting: 1000, runtime: 0, want: 1000},
		{name: "ten waves", shape: pipeline.Array, deadline: pipeline.NoDeadline, jobs: 1, waiting: 1000, runtime: 2, want: 100},
		{name: "ten jobs share a slot", shape: pipeline.Array, deadline: pipeline.NoDeadline, jobs: 10, waiting: 1, runtime: 2, want: 1},
		{name: "eleven jobs need another", shape: pipeline.Array, deadline: pipeline.NoDeadline, jobs: 11, waiting: 1, runtime: 2, want: 2},
		{name: "a deadline", shape: pipeline.Array, deadline: 1, jobs: 1, waiting: 1000, runtime: 2, want: 1000},
		{name: "a gang runs at once", shape: pipeline.Gang, deadline: pipeline.NoDeadline, jobs: 1, waiting: 10, runtime: 2, want: 10},
	} {
		t.Run(test.name, func(t *testing.T) {
			waves := taskWaves{}
			got := 0
			for range test.jobs {
				job := &pipeline.Job{Spec: pipeline.Spec{Shape: test.shape, TaskCount: test.waiting}}
				job.EffectiveDeadline = test.deadline
				got += waves.slots(job, test.waiting, seconds, test.runtime)
			}
			if got != test.want {
				t.Errorf("%d slots, not %d", got, test.want)
			}
		})
	}
}
