package pipeline

import (
	"slices"
)

// Usage is what tasks take of machines or of a team's limit.
type Usage struct{ CPUs, GPUs, Memory float64 }

// Add counts n tasks.
func (u *Usage) Add(s *Spec, n float64) {
	u.CPUs += n * s.CPUs
	u.GPUs += n * s.GPUs
}

// OnMachine returns the entries of a machine, as they are now: what is removed
// meanwhile stays in the list that was returned.
func (t *Table) OnMachine(machine int) []*Entry {
	if machine < 0 || machine >= len(t.byMachine) {
		return nil
	}
	return t.byMachine[machine]
}

// MachinesInUse calls f for every machine with entries.
func (t *Table) MachinesInUse(f func(machine int)) {
	for h, list := range t.byMachine {
		if len(list) > 0 {
			f(h)
		}
	}
}

// MarkMachineChanged notes that something about the entries of a machine has changed.
func (t *Table) MarkMachineChanged(machine int) {
	for len(t.changes) <= machine {
		t.changes = append(t.changes, 0)
	}
	t.changes[machine]++
	if !t.isChanged[machine] {
		t.isChanged[machine] = true
		t.changedMachines = append(t.changedMachines, machine)
	}
}

// Changes counts the changes of a machine's entries: whoever keeps something
// that follows from them compares it.
func (t *Table) Changes(machine int) uint32 {
	if machine >= len(t.changes) {
		return 0
	}
	return t.changes[machine]
}

// TakeChangedMachines returns, once each, the machines whose entries have changed.
func (t *Table) TakeChangedMachines() []int {
	list := t.changedMachines
	t.changedMachines = nil
	clear(t.isChanged)
	return list
}

// Team returns what a team's tasks may be using.
func (t *Table) Team(team int) Usage { return t.team[team] }

func (t *Table) recount(j *Job, sign float64) {
	j.Entries(func(e *Entry) {
		t.count(e, sign)
		t.MarkMachineChanged(e.Machine)
	})
}

func (t *Table) count(e *Entry, sign float64) {
	u := t.team[e.Job.Team]
	u.Add(&e.Job.Spec, sign)
	t.team[e.Job.Team] = u
}

func (t *Table) add(e *Entry) {
	e.Job.active++
	t.count(e, 1)
	for len(t.byMachine) <= e.Machine {
		t.byMachine = append(t.byMachine, nil)
	}
	t.byMachine[e.Machine] = append(slices.Clip(t.byMachine[e.Machine]), e)
	t.MarkMachineChanged(e.Machine)
}

func (t *Table) remove(e *Entry) {
	e.Job.active--
	if e.Pending == PendingDone {
		e.Job.pendingDone--
	}
	t.count(e, -1)
	t.MarkMachineChanged(e.Machine)
	t.byMachine[e.Machine] = slices.DeleteFunc(slices.Clone(t.byMachine[e.Machine]), func(o *Entry) bool { return o == e })
}
