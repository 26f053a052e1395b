package scheduler

import (
	"io"
	"log/slog"
	"testing"
	"time"

	"lugward/internal/pipeline"
	"lugward/internal/worker"
)

// TestCapacitiesFollow: the machine capacities show what was placed a moment ago, as the plan
// that follows a round in the same step needs it; a machine on which nothing
// changed is not counted again.
func TestCapacitiesFollow(t *testing.T) {
	n := &pipeline.Names{}
	jobs := pipeline.NewTable(n, 4096, 12)
	workers := worker.New(worker.Config{Names: n, Jobs: jobs, Log: slog.New(slog.NewTextHandler(io.Discard, nil))})
	machineTypes := MachineTypes{{CPUs: 8, Memory: 32}}
	s := New(Config{Jobs: jobs, Workers: workers, MachineTypes: &machineTypes, HeartbeatTimeout: time.Minute})
	now := time.Second
	for _, name := range []string{"i-1", "i-2"} {
		heartbeat(workers, name, now)
	}
	j := &pipeline.Job{ID: "req-1", Spec: pipeline.Spec{TaskCount: 2, CPUs: 3, Memory: 1, Zone: -1}}
	jobs.HandleChange(pipeline.JobKey, j.ID, pipeline.Encode(names(n), j), 1)
	left := func() (a, b float64) {
		capacities := s.Capacities(now)
		return capacities[0].FreeCPUs, capacities[1].FreeCPUs
	}
	if a, b := left(); a != 8 || b != 8 || s.CapacitiesRecomputed() != 2 {
		t.Fatalf("empty machines have %v and %v CPUs, %d recounted", a, b, s.CapacitiesRecomputed())
	}
	e := jobs.Assign(jobs.Job("req-1"), 0, 1, 1, now)
	if a, b := left(); a != 8 || b != 5 || s.CapacitiesRecomputed() != 3 {
		t.Errorf("with a task on the second: %v and %v, %d counted", a, b, s.CapacitiesRecomputed())
	}
	jobs.RecordTermination(e)
	if a, b := left(); a != 8 || b != 8 || s.CapacitiesRecomputed() != 4 {
		t.Errorf("without it again: %v and %v, %d counted", a, b, s.CapacitiesRecomputed())
	}
}

// names holds what a record of a job names.
func names(n *pipeline.Names) *pipeline.Names {
	n.Classes.Index("c")
	n.Teams.Index("t")
	n.Images.Index("b")
	return n
}
