package scheduler

import (
	"testing"

	"lugward/internal/pipeline"
)

// A gang that all machines of no zone can hold keeps no capacity from others; one that
// they can hold once tasks have ended gathers it.
func TestGangThatFitsNowhere(t *testing.T) {
	for _, c := range []struct {
		tasks, reserved, placed int
	}{{2, 2, 0}, {3, 1, 1}} {
		s := fullSite(2, 0, 0)
		s.jobs.HandleChange(pipeline.RunKey, "req-100000/0", []byte(`{"t":1,"d":"Aw"}`), 90_000_000)
		gang := s.job("req-1", func(j *pipeline.Job) {
			j.Shape, j.TaskCount, j.SameZone, j.CPUs = pipeline.Gang, c.tasks, true, 8
		})
		small := s.job("req-2", func(j *pipeline.Job) { j.CPUs, j.TaskCount = 8, 2 })
		s.Round(s.now, nil)
		if gang.ActiveCount() != 0 || small.ActiveCount() != c.placed || s.ReservationCount() != c.reserved {
			t.Errorf("gang of %d: %d tasks of the small job placed, %d reserved", c.tasks, small.ActiveCount(), s.ReservationCount())
		}
	}
}
