package scheduler

import (
	"io"
	"log/slog"
	"strings"
	"testing"
	"time"

	"lugward/internal/pipeline"
	"lugward/internal/worker"
	"lugward/internal/worker/workertest"
)

// site is a table with one machine of eight CPUs.
type site struct {
	*Scheduler
	revision uint64
	now      time.Duration
}

func newSite() *site {
	names := names(&pipeline.Names{})
	jobs := pipeline.NewTable(names, 4096, 12)
	workers := worker.New(worker.Config{Names: names, Jobs: jobs, Log: slog.New(slog.NewTextHandler(io.Discard, nil))})
	s := &site{Scheduler: New(Config{Jobs: jobs, Workers: workers, MachineTypes: &MachineTypes{{CPUs: 8, Memory: 32}}, HeartbeatTimeout: time.Minute}), now: 100 * time.Second}
	jobs.SetNow(s.now)
	heartbeat(workers, "i-1", s.now)
	return s
}

// heartbeat lets a machine of the first type report that it runs no tasks. One that is
// new is added.
func heartbeat(workers *worker.Registry, machine string, now time.Duration) {
	workers.HandleHeartbeat(workertest.Heartbeat(machine, now), now, workertest.Leader{})
}

func (s *site) job(id string, set func(*pipeline.Job)) *pipeline.Job {
	j := &pipeline.Job{ID: id, Ready: true, Spec: pipeline.Spec{TaskCount: 1, CPUs: 8, Memory: 1, Zone: -1, Priority: pipeline.Normal, EstimatedRuntime: 10}}
	if set != nil {
		set(j)
	}
	s.revision++
	s.jobs.HandleChange(pipeline.JobKey, id, pipeline.Encode(s.jobs.Names, j), s.revision)
	return s.jobs.Job(id)
}

func below(up string, priority pipeline.Priority, deadline float64) func(*pipeline.Job) {
	return func(j *pipeline.Job) {
		j.Ready, j.Upstream, j.Priority, j.Deadline = false, []string{up}, priority, deadline
	}
}

func (s *site) order() string {
	list := s.jobs.ReadyJobs()
	order(list, s.now)
	var names []string
	for _, j := range list {
		names = append(names, j.ID)
	}
	return strings.Join(names, " ")
}

// A job goes by the priority of the last job that needs it, from when that
// comes until it is cancelled; a held job takes part in nothing.
func TestOrderInherits(t *testing.T) {
	s := newSite()
	s.job("req-1", nil)
	s.job("req-2", func(j *pipeline.Job) { j.Priority = pipeline.Idle })
	if got := s.order(); got != "req-1 req-2" {
		t.Errorf("alone: %s", got)
	}
	s.job("req-3", below("req-2", pipeline.Idle, 0))
	s.job("req-4", below("req-3", pipeline.High, 0))
	if got := s.order(); got != "req-2 req-1" {
		t.Errorf("with the last: %s", got)
	}
	s.revision++
	s.jobs.HandleChange(pipeline.TerminalKey, "req-4", pipeline.EncodeTerminal(pipeline.Cancelled, s.jobs.Job("req-4")), s.revision)
	if got := s.order(); got != "req-1 req-2" {
		t.Errorf("without it: %s", got)
	}
}

// What a more important job needs stops less important work, and is not
// stopped by what priorities between the two.
func TestPreemptInherits(t *testing.T) {
	s := newSite()
	other := s.job("req-1", nil)
	s.Round(s.now, nil)
	if other.ActiveCount() != 1 {
		t.Fatal("the machine is not taken")
	}
	s.job("req-2", func(j *pipeline.Job) { j.Priority = pipeline.Idle })
	s.Round(s.now, nil)
	if e := other.Assignment(0); e == nil || e.Evicting {
		t.Fatal("stopped for less important work")
	}
	s.job("req-3", below("req-2", pipeline.High, 0))
	s.Round(s.now, nil)
	if e := other.Assignment(0); e != nil && !e.Evicting { // one that is not stored yet is taken back at once
		t.Error("not stopped for what an important job needs")
	}

	s = newSite()
	low := s.job("req-2", func(j *pipeline.Job) { j.Priority = pipeline.Idle })
	s.job("req-3", below("req-2", pipeline.High, 0))
	s.Round(s.now, nil)
	s.job("req-1", nil)
	s.Round(s.now, nil)
	if e := low.Assignment(0); e == nil || e.Evicting {
		t.Error("what an important job needs is stopped for a lesser one")
	}
}

// Within equal priority and standing the order of readiness stays, except for a
// job of a chain whose deadline is near.
func TestOrderDeadlineAtRisk(t *testing.T) {
	s := newSite()
	s.job("req-1", nil)
	s.job("req-2", func(j *pipeline.Job) { j.Deadline = 1 }) // not of a chain
	s.job("req-3", nil)
	s.job("req-4", nil)
	s.job("req-5", below("req-3", pipeline.Normal, 1000))
	if got := s.order(); got != "req-1 req-2 req-3 req-4" {
		t.Errorf("with time left: %s", got)
	}
	s.job("req-6", below("req-5", pipeline.Normal, 70))
	// 70 s less twice 10 s for those that follow are left for its 10 s.
	if got := s.order(); got != "req-1 req-2 req-3 req-4" {
		t.Errorf("with enough left: %s", got)
	}
	s.now += 11 * time.Second
	if got := s.order(); got != "req-3 req-1 req-2 req-4" {
		t.Errorf("with little left: %s", got)
	}
	s.job("req-7", func(j *pipeline.Job) { j.Priority = pipeline.High })
	if got := s.order(); got != "req-7 req-3 req-1 req-2 req-4" {
		t.Errorf("beside a higher rank: %s", got)
	}
}
