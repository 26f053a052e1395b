package scheduler

import (
	"testing"

	"pgregory.net/rapid"

	"lugward/internal/pipeline"
)

// A gang that fits once running tasks have exited gets reservations. A gang that does not
// fit on the machines of any zone gets none, so that it does not block other jobs.
func TestGangReservation(t *testing.T) {
	tests := []struct {
		name          string
		gangTasks     int
		reserved      int
		smallJobTasks int // tasks placed of the job behind the gang
	}{
		{"gang fits once tasks have exited", 2, 2, 0},
		{"gang never fits", 3, 1, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := newFullCluster(t, 2, 0, 0)
			s.setRunRecord("req-100000", `{"t":1,"d":"Aw"}`, 90_000_000)
			gang := s.addJob("req-1", func(j *pipeline.Job) {
				j.Shape, j.TaskCount, j.SameZone, j.CPUs = pipeline.Gang, test.gangTasks, true, 8
			})
			small := s.addJob("req-2", func(j *pipeline.Job) { j.CPUs, j.TaskCount = 8, 2 })
			s.runRound()
			if got := gang.ActiveCount(); got != 0 {
				t.Errorf("round placed %d tasks of the gang, want 0", got)
			}
			if got := small.ActiveCount(); got != test.smallJobTasks {
				t.Errorf("round placed %d tasks of the small job, want %d", got, test.smallJobTasks)
			}
			if got := s.ReservationCount(); got != test.reserved {
				t.Errorf("ReservationCount = %d, want %d", got, test.reserved)
			}
		})
	}
}

// For a single task, earliestSlot finds the same slot as cheapestSlots, which searches
// all machines.
func TestEarliestSlotMatchesCheapest(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := newFullCluster(t, rapid.IntRange(1, 30).Draw(rt, "machines"), 0, 0)
		job := s.addJob("req-1", func(j *pipeline.Job) {
			j.CPUs = float64(rapid.IntRange(1, 8).Draw(rt, "CPUs"))
			j.SpreadZones = rapid.Bool().Draw(rt, "spread")
			j.TaskCount = rapid.IntRange(1, 3).Draw(rt, "tasks")
		})
		r := s.newRound()
		for _, capacity := range r.capacities {
			if rapid.Bool().Draw(rt, "free") {
				capacity.FreeCPUs += float64(rapid.IntRange(0, 4).Draw(rt, "CPUs free"))
			}
		}
		r.queue = []*pipeline.Job{job}
		r.findMachinesWithRoom()
		anyZone := pipeline.ZoneSelector{}
		search := slotSearch{job: job, zone: anyZone, count: 1, costOf: r.releaseCostFunc(job)}
		for range 3 {
			want := r.cheapestSlots(search)
			got, ok := r.earliestSlot(job, anyZone)
			if ok != (len(want) == 1) || (ok && (got.capacity != want[0].capacity || got.cost != want[0].cost)) {
				rt.Fatalf("earliestSlot = %+v, want the result of cheapestSlots %+v", got, want)
			}
			if ok {
				r.reserveTask(job, got.capacity)
			}
		}
	})
}
