package autoscaler

import (
	"lugward/internal/event"
	"testing"

	"lugward/internal/pipeline"
)

// Short tasks without a deadline take turns on the machines that are provisioned
// for them; nothing is provisioned for work that is over before it has booted.
func TestPlacesForShortTasks(t *testing.T) {
	const seconds = 40 // of booting and idling
	for _, c := range []struct {
		what     string
		shape    pipeline.Shape
		deadline event.Time
		jobs     int
		waiting  int
		runtime  float64
		want     int
	}{
		{"tasks longer than that", pipeline.Array, pipeline.NoDeadline, 1, 1000, 90, 1000},
		{"tasks of unknown length", pipeline.Array, pipeline.NoDeadline, 1, 1000, 0, 1000},
		{"ten turns", pipeline.Array, pipeline.NoDeadline, 1, 1000, 2, 100},
		{"ten jobs share a place", pipeline.Array, pipeline.NoDeadline, 10, 1, 2, 1},
		{"eleven jobs need another", pipeline.Array, pipeline.NoDeadline, 11, 1, 2, 2},
		{"a deadline", pipeline.Array, 1, 1, 1000, 2, 1000},
		{"a gang runs at once", pipeline.Gang, pipeline.NoDeadline, 1, 10, 2, 10},
	} {
		s := taskWaves{}
		got := 0
		for range c.jobs {
			j := &pipeline.Job{EffectiveDeadline: c.deadline, Spec: pipeline.Spec{Shape: c.shape, TaskCount: c.waiting}}
			got += s.places(j, c.waiting, seconds, c.runtime)
		}
		if got != c.want {
			t.Errorf("%s: %d places, not %d", c.what, got, c.want)
		}
	}
}
