package autoscaler

import (
	"iter"
	"maps"
	"slices"

	"lugward/internal/event"
	"lugward/internal/pipeline"
	"lugward/internal/worker"
)

// bootingMachine is a provisioned machine that has not registered, that is, has sent no
// heartbeat yet.
type bootingMachine struct {
	pool            machinePool
	since           event.Time // when it was provisioned or, if running, first listed so
	running         bool       // by the cloud's list
	provisionedHere bool       // by this controller in this term
	unneededSince   event.Time // since when no task is planned for it, 0: one is
}

// bootingMachines holds the machines that have not registered yet.
type bootingMachines struct {
	catalog   *machineTypeCatalog
	bootTimes *bootTimes

	byIndex map[pipeline.MachineIndex]*bootingMachine // by machine
}

// reset forgets all machines.
func (b *bootingMachines) reset() {
	b.byIndex = map[pipeline.MachineIndex]*bootingMachine{}
}

// get returns a machine by its index, nil where it is not booting.
func (b *bootingMachines) get(index pipeline.MachineIndex) *bootingMachine { return b.byIndex[index] }

// add adds a machine or replaces what was known of it.
func (b *bootingMachines) add(machine *worker.Machine, booting *bootingMachine) {
	b.byIndex[machine.Index] = booting
}

// remove forgets a machine by its index.
func (b *bootingMachines) remove(index pipeline.MachineIndex) { delete(b.byIndex, index) }

// all iterates over the machines in the order of their indices. They may be removed
// meanwhile.
func (b *bootingMachines) all() iter.Seq2[pipeline.MachineIndex, *bootingMachine] {
	return func(yield func(pipeline.MachineIndex, *bootingMachine) bool) {
		for _, index := range slices.Sorted(maps.Keys(b.byIndex)) {
			if !yield(index, b.byIndex[index]) {
				return
			}
		}
	}
}

// isRunning reports whether the cloud lists a machine as running that has not registered.
func (b *bootingMachines) isRunning(index pipeline.MachineIndex) bool {
	booting := b.byIndex[index]
	return booting != nil && booting.running
}

// anyRunning reports whether the cloud lists any machine as running that has not
// registered.
func (b *bootingMachines) anyRunning() bool {
	for _, booting := range b.byIndex {
		if booting.running {
			return true
		}
	}
	return false
}

// recordBoot records how long a machine took to register. Since a term may begin while
// a machine boots, only those that were provisioned in this term count.
func (b *bootingMachines) recordBoot(booting *bootingMachine, now event.Time) {
	if booting.provisionedHere {
		b.bootTimes.record(booting.pool.machineType, now-booting.since)
	}
}

// isOverdue reports whether a machine is not to be counted on any more.
func (b *bootingMachines) isOverdue(booting *bootingMachine, now event.Time) bool {
	machineType := b.catalog.get(booting.pool.machineType)
	return machineType != nil && !booting.running && now-booting.since > b.bootTimes.timeout(machineType, overdueFactor)
}

// overduePools is the set of pools with overdue machines.
func (b *bootingMachines) overduePools(now event.Time) map[machinePool]bool {
	pools := map[machinePool]bool{}
	for _, booting := range b.byIndex {
		if b.isOverdue(booting, now) {
			pools[booting.pool] = true
		}
	}
	return pools
}
