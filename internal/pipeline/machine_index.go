package pipeline

import (
	"iter"
	"slices"
)

// machineIndex holds the assignments of each machine, and the machines whose assignments
// have changed. Lists of assignments are copied on write, so callers may keep them.
type machineIndex struct {
	byMachine       [][]*Assignment
	changeCounts    []uint32              // by machine, number of changes of its assignments
	changedMachines []MachineIndex        // since the last call of DrainChangedMachines, in the order of the first change
	changed         map[MachineIndex]bool // set of the machines in changedMachines
}

// AssignmentsOn returns the current assignments of a machine. Later changes do not affect the
// returned list, which the caller must not modify.
func (m *machineIndex) AssignmentsOn(machine MachineIndex) []*Assignment {
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

// MarkMachineChanged marks a machine as changed because its assignments or their state have
// changed.
func (m *machineIndex) MarkMachineChanged(machine MachineIndex) {
	for MachineIndex(len(m.changeCounts)) <= machine {
		m.changeCounts = append(m.changeCounts, 0)
	}
	m.changeCounts[machine]++
	if !m.changed[machine] {
		m.changed[machine] = true
		m.changedMachines = append(m.changedMachines, machine)
	}
}

// ChangeCount returns the number of changes of a machine's assignments. Callers that cache
// values derived from the assignments use it to detect stale values.
func (m *machineIndex) ChangeCount(machine MachineIndex) uint32 {
	if machine >= MachineIndex(len(m.changeCounts)) {
		return 0
	}
	return m.changeCounts[machine]
}

// DrainChangedMachines returns and clears the list of machines whose assignments have
// changed. Each machine is listed once.
func (m *machineIndex) DrainChangedMachines() []MachineIndex {
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
	m.MarkMachineChanged(assignment.Machine)
}

func (m *machineIndex) removeFromMachine(assignment *Assignment) {
	m.MarkMachineChanged(assignment.Machine)
	list := slices.Clone(m.byMachine[assignment.Machine])
	m.byMachine[assignment.Machine] = slices.DeleteFunc(list, func(other *Assignment) bool { return other == assignment })
}
