package worker_test

import (
	"fmt"
	"testing"
	"time"

	"lugward/internal/pipeline"
	"lugward/internal/record"
	"lugward/internal/worker"
)

// Jobs that fail on every machine must not cause a machine to be considered at fault, no
// matter how many of them have failed there.
func TestFailingJobsDoNotQuarantineMachines(t *testing.T) {
	c := newCluster(0)
	for n := range 5 {
		job := c.submit(fmt.Sprint("req-", n), pipeline.Array, 2)
		for task, machine := range []string{"i-1", "i-2"} {
			c.fail(t, job, task, machine)
		}
		c.advance(time.Second)
		if !job.AtFault() {
			t.Errorf("job %s: AtFault() = false, want true", job.ID)
		}
	}
	c.advance(time.Minute)
	for _, name := range []string{"i-1", "i-2"} {
		if machine := c.Add(name, c.now); machine.Quarantined() || machine.Draining() || machine.Decommissioning() {
			t.Errorf("machine %s: quarantined %v, draining %v, decommissioning %v, want all false", name,
				machine.Quarantined(), machine.Draining(), machine.Decommissioning())
		}
	}
}

// A machine is quarantined, and its tasks are evicted, if several jobs fail there that work
// on other machines. Until that is proven, the machine is used like any other.
func TestMachineAtFaultIsQuarantined(t *testing.T) {
	c := newCluster(0)
	other := c.submit("req-9", pipeline.Array, 1)
	c.run(t, other, "i-1")
	for n := range 2 {
		job := c.submit(fmt.Sprint("req-", n), pipeline.Array, 1)
		c.fail(t, job, 0, "i-1")
		if job.BackingOff(c.now) || !job.AvoidsMachine(c.Add("i-1", c.now).Index, c.now) {
			t.Errorf("job %s is not retried immediately on another machine", job.ID)
		}
		c.jobs.HandleChange(record.KindRun, job.ID+"/0", []byte(`{"t":1}`), 5)
		c.run(t, job, "i-2")
	}
	c.advance(time.Second)
	if c.Add("i-1", c.now).Quarantined() {
		t.Error("machine i-1 is quarantined before its jobs have run long enough on i-2")
	}
	c.advance(worker.MinHealthyRuntime)
	atFault := c.Add("i-1", c.now)
	if !atFault.Quarantined() || !atFault.Draining() {
		t.Errorf("machine i-1: quarantined %v, draining %v, want both true", atFault.Quarantined(), atFault.Draining())
	}
	if assignment := other.Assignment(0); assignment == nil || !assignment.Evicting() {
		t.Error("the running task on the quarantined machine is not being evicted")
	}
	if c.Add("i-2", c.now).Quarantined() {
		t.Error("the healthy machine i-2 is quarantined")
	}
}

// A task that keeps running shows that its daemon is no longer at fault. A completion
// cannot show it, because the tasks of a daemon never complete.
func TestDaemonWorksAgain(t *testing.T) {
	c := newCluster(0)
	job := c.submit("req-1", pipeline.Daemon, 2)
	for task, machine := range []string{"i-1", "i-2"} {
		c.fail(t, job, task, machine)
	}
	c.jobs.HandleChange(record.KindRun, job.ID+"/0", []byte(`{"t":2}`), 5)
	c.advance(time.Minute)
	if !job.AtFault() || job.StartableCount() != 1 {
		t.Fatalf("before a task runs: %d failures, %d startable tasks, want failures and 1 startable task",
			job.Failures(), job.StartableCount())
	}
	c.run(t, job, "i-3")
	c.advance(worker.DaemonHealthyRuntime)
	c.advance(time.Second)
	if job.AtFault() || job.StartableCount() != 1 {
		t.Errorf("after a task has run: %d failures, %d startable tasks, want 0 failures and 1 startable task",
			job.Failures(), job.StartableCount())
	}
}
