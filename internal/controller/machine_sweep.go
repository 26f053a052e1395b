package controller

import (
	"time"

	"lugward/internal/event"
	"lugward/internal/pipeline"
)

// machineSweepInterval is the time between two sweeps that remove the state of machines
// that are gone. In a day, a cluster provisions many times the number of machines that
// are up at any one time, so without sweeps their state would accumulate.
const machineSweepInterval = time.Minute

// sweepMachines removes, if a sweep is due, the state of machines that nothing refers to
// any more, so that their indices can be reused.
func (c *Controller) sweepMachines(now event.Time) {
	if !c.machineSweep.startIfDue(now) {
		return
	}
	c.heartbeats.parser.Retain(func(name string) bool { return c.workers.Lookup(name) != nil })
	for index := range pipeline.MachineIndex(c.names.Machines.Len()) {
		if c.names.Machines.Used(index) && !c.isMachineReferenced(index) {
			c.jobs.ForgetMachine(index)
			c.names.Machines.Release(index)
		}
	}
}

// isMachineReferenced reports whether anything refers to the machine with the given
// index.
func (c *Controller) isMachineReferenced(index pipeline.MachineIndex) bool {
	known := c.workers.MachineAt(index) != nil || c.autoscaler.IsBooting(index)
	return known || c.jobs.AssignmentCount(index) > 0 || c.heartbeats.pending.get(index) != nil
}
