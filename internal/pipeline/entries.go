package pipeline

import (
	"iter"
	"slices"
)

// Usage is what tasks take of machines or of a team's limit.
type Usage struct{ CPUs, GPUs, Memory float64 }

// Add counts n tasks.
func (u *Usage) Add(s *Spec, n float64) {
	u.CPUs += n * s.CPUs
	u.GPUs += n * s.GPUs
}

// machineIndex lists the entries of each machine, and the machines whose entries
// have changed. A list is replaced, never changed in place.
type machineIndex struct {
	byMachine       [][]*Assignment
	changes         []uint32     // by machine, how often its entries have changed
	changedMachines []int        // since they were last taken, in the order of the first change
	isChanged       map[int]bool // the machines in changedMachines
}

// OnMachine returns the entries of a machine, as they are now: what is removed
// meanwhile stays in the list that was returned.
func (x *machineIndex) OnMachine(machine int) []*Assignment {
	if machine < 0 || machine >= len(x.byMachine) {
		return nil
	}
	return x.byMachine[machine]
}

// MachinesInUse returns the machines with assignments, in the order of their indices.
func (x *machineIndex) MachinesInUse() iter.Seq[int] {
	return func(yield func(machine int) bool) {
		for machine, list := range x.byMachine {
			if len(list) > 0 && !yield(machine) {
				return
			}
		}
	}
}

// NoteMachineChanged notes that something about the entries of a machine has changed.
func (x *machineIndex) NoteMachineChanged(machine int) {
	for len(x.changes) <= machine {
		x.changes = append(x.changes, 0)
	}
	x.changes[machine]++
	if !x.isChanged[machine] {
		x.isChanged[machine] = true
		x.changedMachines = append(x.changedMachines, machine)
	}
}

// Changes counts the changes of a machine's entries: whoever caches something
// that follows from them compares it.
func (x *machineIndex) Changes(machine int) uint32 {
	if machine >= len(x.changes) {
		return 0
	}
	return x.changes[machine]
}

// TakeChangedMachines returns, once each, the machines whose entries have changed.
func (x *machineIndex) TakeChangedMachines() []int {
	list := x.changedMachines
	x.changedMachines = nil
	clear(x.isChanged)
	return list
}

func (x *machineIndex) addToMachine(e *Assignment) {
	for len(x.byMachine) <= e.Machine {
		x.byMachine = append(x.byMachine, nil)
	}
	x.byMachine[e.Machine] = append(slices.Clip(x.byMachine[e.Machine]), e)
	x.NoteMachineChanged(e.Machine)
}

func (x *machineIndex) removeFromMachine(e *Assignment) {
	x.NoteMachineChanged(e.Machine)
	list := slices.Clone(x.byMachine[e.Machine])
	x.byMachine[e.Machine] = slices.DeleteFunc(list, func(other *Assignment) bool { return other == e })
}

// TeamUsage returns what a team's tasks may be using.
func (t *Table) TeamUsage(team int) Usage { return t.team[team] }

// addAssignment counts an entry that is new.
func (t *Table) addAssignment(e *Assignment) {
	e.Job.active++
	t.countUsage(e, 1)
	t.addToMachine(e)
}

// removeAssignment counts an entry no more; its chunk no longer lists it.
func (t *Table) removeAssignment(e *Assignment) {
	e.Job.active--
	e.Job.noteUnplaced(e.Task)
	if e.pending == PendingDone {
		e.Job.pendingDone--
	}
	t.countUsage(e, -1)
	t.removeFromMachine(e)
}

// recountUsage counts all entries of a job by its spec as it is now, so many times:
// -1 before the spec changes, 1 after.
func (t *Table) recountUsage(j *Job, times float64) {
	for e := range j.Assignments() {
		t.countUsage(e, times)
		t.NoteMachineChanged(e.Machine)
	}
}

func (t *Table) countUsage(e *Assignment, times float64) {
	u := t.team[e.Job.Team]
	u.Add(&e.Job.Spec, times)
	t.team[e.Job.Team] = u
}
