package controller

import (
	"time"

	"lugward/internal/event"
	"lugward/internal/pipeline"
)

// machineSweepInterval is the time between two sweeps for machines that are gone. A
// site provisions many times as many machines in a day as are up at a time, and
// whatever is kept of each would add up.
const machineSweepInterval = time.Minute

// forgetGoneMachines drops, when that is due, what is kept of machines that nothing
// refers to any more, so that their indices serve others.
func (c *Controller) forgetGoneMachines(now event.Time) {
	if !c.machineSweep.takeDue(now) {
		return
	}
	c.heartbeats.parser.Retain(func(name string) bool { return c.workers.Lookup(name) != nil })
	for index := range pipeline.MachineIndex(c.names.Machines.Len()) {
		if c.names.Machines.Used(index) && !c.refersToMachine(index) {
			c.jobs.ForgetMachine(index)
			c.names.Machines.Release(index)
		}
	}
}

// refersToMachine reports whether a machine's index is in use.
func (c *Controller) refersToMachine(index pipeline.MachineIndex) bool {
	known := c.workers.MachineAt(index) != nil || c.autoscaler.IsBooting(index)
	return known || len(c.jobs.OnMachine(index)) > 0 || c.heartbeats.pending.get(index) != nil
}
