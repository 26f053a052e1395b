package pipeline

// TasksByMachine returns the number of active tasks of a job on each machine if the zones of
// its tasks depend on each other, and nil otherwise. The caller must not modify the result.
func (j *Job) TasksByMachine() map[MachineIndex]int { return j.tasksByMachine }

// relatesZones reports whether the zone of a task constrains that of the job's other tasks.
func (s *Spec) relatesZones() bool { return s.SameZone || s.SpreadZones }

// countByMachine counts the tasks of a job by machine after a change of its specification.
func (j *Job) countByMachine() {
	if j.relatesZones() == (j.tasksByMachine != nil) {
		return
	}
	j.tasksByMachine = nil
	if !j.relatesZones() {
		return
	}
	j.tasksByMachine = map[MachineIndex]int{}
	for assignment := range j.Assignments() {
		j.tasksByMachine[assignment.Machine]++
	}
}

// addToMachineCount adds a number of tasks, which may be negative, to the count of a machine.
func (j *Job) addToMachineCount(machine MachineIndex, tasks int) {
	if j.tasksByMachine == nil {
		return
	}
	j.tasksByMachine[machine] += tasks
	if j.tasksByMachine[machine] == 0 {
		delete(j.tasksByMachine, machine)
	}
}
