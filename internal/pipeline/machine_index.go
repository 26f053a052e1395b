package pipeline

import "iter"

// machineIndex holds the assignments of each machine, and the machines whose assignments
// have changed.
type machineIndex struct {
	byMachine       []machineAssignments
	changeCounts    []uint32              // by machine, number of changes of its assignments
	changedMachines []MachineIndex        // since the last call of DrainChangedMachines, in the order of the first change
	changed         map[MachineIndex]bool // set of the machines in changedMachines
}

// machineAssignments lists the assignments of a machine in the order in which they were
// added. Adding and removing one takes constant time on average, however many there are.
type machineAssignments struct {
	entries []*Assignment // with nil in place of removed ones
	count   int           // entries that are not nil
}

// minCompactedEntries is the number of entries below which removed ones are kept.
const minCompactedEntries = 16

func (m *machineAssignments) add(assignment *Assignment) {
	assignment.machinePosition = int32(len(m.entries))
	m.entries = append(m.entries, assignment)
	m.count++
}

// remove removes an assignment. Once most entries are removed ones, the others are copied to
// a new list, so that an iteration over the old list is not disturbed.
func (m *machineAssignments) remove(assignment *Assignment) {
	m.entries[assignment.machinePosition] = nil
	m.count--
	if len(m.entries) < minCompactedEntries || m.count > len(m.entries)/2 {
		return
	}
	old := m.entries
	m.entries = make([]*Assignment, 0, m.count)
	m.count = 0
	for _, remaining := range old {
		if remaining != nil {
			m.add(remaining)
		}
	}
}

// AssignmentsOn returns an iterator over the assignments of a machine, in the order in which
// they were added. Assignments may be added and removed during the iteration. Whether it
// returns those is not specified.
func (m *machineIndex) AssignmentsOn(machine MachineIndex) iter.Seq[*Assignment] {
	return func(yield func(*Assignment) bool) {
		if machine < 0 || machine >= MachineIndex(len(m.byMachine)) {
			return
		}
		for _, assignment := range m.byMachine[machine].entries {
			if assignment != nil && !yield(assignment) {
				return
			}
		}
	}
}

// AssignmentCount returns the number of assignments of a machine.
func (m *machineIndex) AssignmentCount(machine MachineIndex) int {
	if machine < 0 || machine >= MachineIndex(len(m.byMachine)) {
		return 0
	}
	return m.byMachine[machine].count
}

// MachinesInUse returns the machines with assignments, in the order of their indices.
func (m *machineIndex) MachinesInUse() iter.Seq[MachineIndex] {
	return func(yield func(machine MachineIndex) bool) {
		for machine := range m.byMachine {
			if m.byMachine[machine].count > 0 && !yield(MachineIndex(machine)) {
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
		m.byMachine = append(m.byMachine, machineAssignments{})
	}
	m.byMachine[assignment.Machine].add(assignment)
	m.MarkMachineChanged(assignment.Machine)
}

func (m *machineIndex) removeFromMachine(assignment *Assignment) {
	m.MarkMachineChanged(assignment.Machine)
	m.byMachine[assignment.Machine].remove(assignment)
}
