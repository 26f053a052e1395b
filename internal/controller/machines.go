package controller

import (
	"time"

	"lugward/internal/event"
)

// machineSweepInterval is the time between two sweeps for machines that are gone. A
// site provisions many times as many machines in a day as are up at a time, and
// whatever is kept of each would add up.
const machineSweepInterval = time.Minute

// forgetGoneMachines drops what is kept of machines that nothing refers to any more,
// so that their indices serve others.
func (n *Controller) forgetGoneMachines(now event.Time) {
	if now-n.machinesSweptAt < machineSweepInterval {
		return
	}
	n.machinesSweptAt = now
	n.parser.Retain(func(name string) bool { return n.workers.Lookup(name) != nil })
	for index := range n.names.Machines.Len() {
		if n.names.Machines.Used(index) && !n.refersToMachine(index) {
			n.jobs.ForgetMachine(index)
			n.names.Machines.Release(index)
		}
	}
}

// refersToMachine tells whether a machine's index is in use.
func (n *Controller) refersToMachine(index int) bool {
	known := n.workers.MachineAt(index) != nil || n.autoscaler.IsBooting(index)
	return known || len(n.jobs.OnMachine(index)) > 0 || n.pending.byMachine[index] != nil
}
