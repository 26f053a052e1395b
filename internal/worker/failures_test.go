package worker

import (
	"fmt"
	"io"
	"log/slog"
	"testing"
	"time"

	"lugward/internal/event"
	"lugward/internal/pipeline"
	"lugward/internal/record"
)

// cluster is a registry with jobs whose tasks the test lets run and fail.
type cluster struct {
	*Registry
	now      event.Time
	sequence uint64
}

func newCluster() *cluster {
	names := &pipeline.Names{}
	table := pipeline.NewTable(pipeline.Config{Names: names, LayoutValueBytes: 4096, TxnOps: 12})
	return &cluster{Registry: New(Config{Names: names, Jobs: table, Log: slog.New(slog.NewTextHandler(io.Discard, nil))}), now: time.Second}
}

func (c *cluster) submit(id string, shape pipeline.Shape, tasks int) *pipeline.Job {
	j := &pipeline.Job{ID: id, Ready: true, Spec: pipeline.Spec{Shape: shape, TaskCount: tasks, Zone: -1}}
	j.Class, j.Team, j.Image = c.names.Classes.Index("c"), c.names.Teams.Index("t"), c.names.Images.Index("b")
	c.jobs.HandleChange(record.KindJob, id, pipeline.EncodeJob(c.names, j), 1)
	return c.jobs.Job(id)
}

// start puts a task on a machine as a stored placement.
func (c *cluster) start(j *pipeline.Job, task int, machine string) {
	placedOn := c.Add(machine, c.now)
	c.jobs.Assign(j, task, placedOn.Index, j.MaxAttempt()+1, c.now)
	run := record.Run{Attempt: j.MaxAttempt()}
	for assignment := range j.Assignments() {
		run.Active = append(run.Active, record.Assignment{
			Task:    assignment.Task,
			Attempt: assignment.Attempt,
			Machine: c.names.Machines.Name(assignment.Machine),
		})
	}
	c.jobs.HandleChange(record.KindRun, j.ID+"/0", run.Encode(), 2)
}

// report lets a machine report one task.
func (c *cluster) report(machine string, j *pipeline.Job, task int, phase, cause string) {
	c.sequence++
	attempt := uint64(0)
	if entry := j.Assignment(task); entry != nil {
		attempt = entry.Attempt
	}
	c.HandleHeartbeat(&Heartbeat{Machine: machine, Addr: "10.1.0.1:9000", MachineType: "f", Zone: "a", Incarnation: 1, Sequence: c.sequence, FencingToken: 5,
		Tasks: []TaskStatus{{Task: fmt.Sprintf("%s/%d", j.ID, task), Attempt: attempt, Phase: phase, Cause: cause}}}, c.now, term{})
}

func (c *cluster) wait(d time.Duration) {
	c.now += d
	c.jobs.SetNow(c.now)
	c.Tick(c.now, term{}, &event.Effects{})
}

// Jobs that fail wherever they run never make a machine faulty, however many of
// them have failed there.
func TestFailingJobsSpareMachines(t *testing.T) {
	c := newCluster()
	for n := range 5 {
		j := c.submit(fmt.Sprint("req-", n), pipeline.Array, 2)
		for task, machine := range []string{"i-1", "i-2"} {
			c.start(j, task, machine)
			c.report(machine, j, task, "exited", "error")
		}
		c.wait(time.Second)
		if !j.AtFault() {
			t.Errorf("%s is not at fault", j.ID)
		}
	}
	c.wait(time.Minute)
	for _, name := range []string{"i-1", "i-2"} {
		if m := c.Add(name, c.now); m.quarantined || m.draining || m.decommissioning {
			t.Errorf("%s is blamed", name)
		}
	}
}

// A machine on which several jobs fail that work elsewhere is faulty: what runs
// there moves at once. Before that is proven it is used like any other.
func TestFaultyMachine(t *testing.T) {
	c := newCluster()
	other := c.submit("req-9", pipeline.Array, 1)
	c.start(other, 0, "i-1")
	c.report("i-1", other, 0, "running", "")
	for n := range 2 {
		j := c.submit(fmt.Sprint("req-", n), pipeline.Array, 1)
		c.start(j, 0, "i-1")
		c.report("i-1", j, 0, "exited", "error")
		if j.BackingOff(c.now) || !j.AvoidsMachine(c.Add("i-1", c.now).Index, c.now) {
			t.Errorf("%s does not move at once", j.ID)
		}
		c.jobs.HandleChange(record.KindRun, j.ID+"/0", []byte(`{"t":1}`), 5)
		c.start(j, 0, "i-2")
		c.report("i-2", j, 0, "running", "")
	}
	c.wait(time.Second)
	if c.Add("i-1", c.now).quarantined {
		t.Error("two failures are no proof yet")
	}
	c.wait(minWorkingTime)
	faulty := c.Add("i-1", c.now)
	if !faulty.quarantined || !faulty.draining {
		t.Error("the machine is not taken out of use")
	}
	if entry := other.Assignment(0); entry == nil || !entry.Evicting() {
		t.Error("what runs there does not move")
	}
	if c.Add("i-2", c.now).quarantined {
		t.Error("the healthy machine is blamed")
	}
}

// A replica that goes on running shows that its service is not at fault; nothing
// of a service ever completes.
func TestServiceWorksAgain(t *testing.T) {
	c := newCluster()
	j := c.submit("req-1", pipeline.Daemon, 2)
	for task, machine := range []string{"i-1", "i-2"} {
		c.start(j, task, machine)
		c.report(machine, j, task, "exited", "error")
	}
	c.jobs.HandleChange(record.KindRun, j.ID+"/0", []byte(`{"t":2}`), 5)
	c.wait(time.Minute)
	if !j.AtFault() || j.StartableCount() != 1 {
		t.Fatalf("%d failures, %d to try", j.Failures(), j.StartableCount())
	}
	c.start(j, 0, "i-3")
	c.report("i-3", j, 0, "running", "")
	c.wait(serviceWorkingTime)
	c.wait(time.Second)
	if j.AtFault() || j.StartableCount() != 1 {
		t.Errorf("%d failures, %d to try", j.Failures(), j.StartableCount())
	}
}
