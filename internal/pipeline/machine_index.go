package pipeline

import (
	"iter"
	"slices"
)

// machineIndex lists the assignments of each machine, and the machines whose assignments
// have changed. A list is replaced, never changed in place.
type machineIndex struct {
	byMachine       [][]*Assignment
	changes         []uint32              // by machine, how often its assignments have changed
	changedMachines []MachineIndex        // since they were last taken, in the order of the first change
	changed         map[MachineIndex]bool // the machines in changedMachines
}

// OnMachine returns the assignments of a machine, as they are now: what is removed
// meanwhile stays in the list that was returned. The list must not be changed.
func (m *machineIndex) OnMachine(machine MachineIndex) []*Assignment {
	if machine < 0 || machine >= MachineIndex(len(m.byMachine)) {
		return nil
	}
	return m.byMachine[machine]
}

// MachinesInUse returns the machines with assignments, in the order of their indices.
func (m *machineIndex) MachinesInUse() iter.Seq[MachineIndex] {
	return func(yield func(machine MachineIndex) bool) {
		for machine, list := range m.byMachine {
			if len(list) > 0 && !yield(MachineIndex(machine)) {
				return
			}
		}
	}
}

// NoteMachineChanged notes that something about the assignments of a machine has changed.
func (m *machineIndex) NoteMachineChanged(machine MachineIndex) {
	for MachineIndex(len(m.changes)) <= machine {
		m.changes = append(m.changes, 0)
	}
	m.changes[machine]++
	if !m.changed[machine] {
		m.changed[machine] = true
		m.changedMachines = append(m.changedMachines, machine)
	}
}

// Changes counts the changes of a machine's assignments: whoever caches something
// that follows from them compares it.
func (m *machineIndex) Changes(machine MachineIndex) uint32 {
	if machine >= MachineIndex(len(m.changes)) {
		return 0
	}
	return m.changes[machine]
}

// TakeChangedMachines returns, once each, the machines whose assignments have changed.
func (m *machineIndex) TakeChangedMachines() []MachineIndex {
	list := m.changedMachines
	m.changedMachines = nil
	clear(m.changed)
	return list
}

func (m *machineIndex) addToMachine(assignment *Assignment) {
	for MachineIndex(len(m.byMachine)) <= assignment.Machine {
		m.byMachine = append(m.byMachine, nil)
	}
	m.byMachine[assignment.Machine] = append(slices.Clip(m.byMachine[assignment.Machine]), assignment)
	m.NoteMachineChanged(assignment.Machine)
}

func (m *machineIndex) removeFromMachine(assignment *Assignment) {
	m.NoteMachineChanged(assignment.Machine)
	list := slices.Clone(m.byMachine[assignment.Machine])
	m.byMachine[assignment.Machine] = slices.DeleteFunc(list, func(other *Assignment) bool { return other == assignment })
}
