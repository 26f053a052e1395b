package autoscaler

import (
	"iter"
	"maps"
	"slices"

	"lugward/internal/event"
	"lugward/internal/pipeline"
	"lugward/internal/worker"
)

// bootingMachine is a provisioned machine that has not registered yet. A machine
// registers with its first heartbeat.
type bootingMachine struct {
	pool              machinePool
	since             event.Time // time of provisioning or, if running, when first listed as running
	running           bool       // whether the cloud lists the machine as running
	provisionedInTerm bool       // whether this controller provisioned it in this term
	unneededSince     event.Time // since when no plan has used the machine, zero if the last plan did
}

// bootingMachines is the set of machines that have not registered yet.
type bootingMachines struct {
	catalog   *machineTypeCatalog
	bootTimes *bootTimes

	byIndex map[pipeline.MachineIndex]*bootingMachine
}

// reset removes all machines.
func (b *bootingMachines) reset() {
	b.byIndex = map[pipeline.MachineIndex]*bootingMachine{}
}

// get returns the machine with the given index, or nil if it is not booting.
func (b *bootingMachines) get(index pipeline.MachineIndex) *bootingMachine { return b.byIndex[index] }

// add adds a machine or replaces its entry.
func (b *bootingMachines) add(machine *worker.Machine, booting *bootingMachine) {
	b.byIndex[machine.Index] = booting
}

// remove removes the machine with the given index, if present.
func (b *bootingMachines) remove(index pipeline.MachineIndex) { delete(b.byIndex, index) }

// all iterates over the machines in index order. The caller may remove machines during
// the iteration.
func (b *bootingMachines) all() iter.Seq2[pipeline.MachineIndex, *bootingMachine] {
	return func(yield func(pipeline.MachineIndex, *bootingMachine) bool) {
		for _, index := range slices.Sorted(maps.Keys(b.byIndex)) {
			if !yield(index, b.byIndex[index]) {
				return
			}
		}
	}
}

// isRunning reports whether a machine is unregistered although the cloud lists it as
// running.
func (b *bootingMachines) isRunning(index pipeline.MachineIndex) bool {
	booting := b.byIndex[index]
	return booting != nil && booting.running
}

// anyRunning reports whether any machine is unregistered although the cloud lists it as
// running.
func (b *bootingMachines) anyRunning() bool {
	for _, booting := range b.byIndex {
		if booting.running {
			return true
		}
	}
	return false
}

// recordBoot records how long a machine took to register. Only machines that were
// provisioned in this term are recorded, because a term may begin while a machine boots.
func (b *bootingMachines) recordBoot(booting *bootingMachine, now event.Time) {
	if booting.provisionedInTerm {
		b.bootTimes.record(booting.pool.machineType, now-booting.since)
	}
}

// isOverdue reports whether a machine has been booting for much longer than expected, so
// that plans no longer rely on it.
func (b *bootingMachines) isOverdue(booting *bootingMachine, now event.Time) bool {
	machineType := b.catalog.get(booting.pool.machineType)
	return machineType != nil && !booting.running && now-booting.since > b.bootTimes.timeout(machineType, overdueFactor)
}

// overduePools returns the set of pools that have overdue machines.
func (b *bootingMachines) overduePools(now event.Time) map[machinePool]bool {
	pools := map[machinePool]bool{}
	for _, booting := range b.byIndex {
		if b.isOverdue(booting, now) {
			pools[booting.pool] = true
		}
	}
	return pools
}
