package worker_test

import (
	"fmt"
	"testing"
	"time"

	"lugward/internal/pipeline"
	"lugward/internal/record"
	"lugward/internal/worker"
)

// Jobs that fail wherever they run never show that a machine is at fault, however many
// of them have failed there.
func TestFailingJobsSpareMachines(t *testing.T) {
	c := newCluster(0)
	for n := range 5 {
		job := c.submit(fmt.Sprint("req-", n), pipeline.Array, 2)
		for task, machine := range []string{"i-1", "i-2"} {
			c.fail(t, job, task, machine)
		}
		c.wait(time.Second)
		if !job.AtFault() {
			t.Errorf("%s is not at fault", job.ID)
		}
	}
	c.wait(time.Minute)
	for _, name := range []string{"i-1", "i-2"} {
		if machine := c.Add(name, c.now); machine.Quarantined() || machine.Draining() || machine.Decommissioning() {
			t.Errorf("%s is taken to be at fault", name)
		}
	}
}

// A machine on which several jobs fail that work elsewhere is quarantined: what runs
// there is evicted. Before that is proven it is used like any other.
func TestMachineAtFaultIsQuarantined(t *testing.T) {
	c := newCluster(0)
	other := c.submit("req-9", pipeline.Array, 1)
	c.run(t, other, "i-1")
	for n := range 2 {
		job := c.submit(fmt.Sprint("req-", n), pipeline.Array, 1)
		c.fail(t, job, 0, "i-1")
		if job.BackingOff(c.now) || !job.AvoidsMachine(c.Add("i-1", c.now).Index, c.now) {
			t.Errorf("%s does not try another machine at once", job.ID)
		}
		c.jobs.HandleChange(record.KindRun, job.ID+"/0", []byte(`{"t":1}`), 5)
		c.run(t, job, "i-2")
	}
	c.wait(time.Second)
	if c.Add("i-1", c.now).Quarantined() {
		t.Error("two failures are no proof yet")
	}
	c.wait(worker.MinWorkingTime)
	atFault := c.Add("i-1", c.now)
	if !atFault.Quarantined() || !atFault.Draining() {
		t.Error("the machine is not taken out of use")
	}
	if assignment := other.Assignment(0); assignment == nil || !assignment.Evicting() {
		t.Error("what runs there is not evicted")
	}
	if c.Add("i-2", c.now).Quarantined() {
		t.Error("the healthy machine is quarantined")
	}
}

// A replica that goes on running shows that its service is not at fault; nothing
// of a service ever completes.
func TestServiceWorksAgain(t *testing.T) {
	c := newCluster(0)
	job := c.submit("req-1", pipeline.Daemon, 2)
	for task, machine := range []string{"i-1", "i-2"} {
		c.fail(t, job, task, machine)
	}
	c.jobs.HandleChange(record.KindRun, job.ID+"/0", []byte(`{"t":2}`), 5)
	c.wait(time.Minute)
	if !job.AtFault() || job.StartableCount() != 1 {
		t.Fatalf("%d failures, %d to try", job.Failures(), job.StartableCount())
	}
	c.run(t, job, "i-3")
	c.wait(worker.ServiceWorkingTime)
	c.wait(time.Second)
	if job.AtFault() || job.StartableCount() != 1 {
		t.Errorf("%d failures, %d to try", job.Failures(), job.StartableCount())
	}
}
