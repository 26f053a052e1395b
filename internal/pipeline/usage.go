package pipeline

// Usage is what tasks take of machines or of a team's limit.
type Usage struct{ CPUs, GPUs, Memory float64 }

// Add counts n tasks.
func (u *Usage) Add(spec *Spec, n float64) {
	u.CPUs += n * spec.CPUs
	u.GPUs += n * spec.GPUs
}

// TeamUsage returns what a team's tasks may be using.
func (t *Table) TeamUsage(team TeamIndex) Usage { return t.usageByTeam[team] }

// recountUsage counts all assignments of a job by its spec as it is now, so many times:
// -1 before the spec changes, 1 after.
func (t *Table) recountUsage(job *Job, times float64) {
	for assignment := range job.Assignments() {
		t.countUsage(assignment, times)
		t.NoteMachineChanged(assignment.Machine)
	}
}

func (t *Table) countUsage(assignment *Assignment, times float64) {
	usage := t.usageByTeam[assignment.Job.Team]
	usage.Add(&assignment.Job.Spec, times)
	t.usageByTeam[assignment.Job.Team] = usage
}
