package pipeline

// Usage is an amount of resources, as used by tasks on a machine or counted against a team's
// limit.
type Usage struct{ CPUs, GPUs, Memory float64 }

// Add adds the CPUs and GPUs of n tasks with a spec, but not their memory. n may be negative.
func (u *Usage) Add(spec *Spec, n float64) {
	u.CPUs += n * spec.CPUs
	u.GPUs += n * spec.GPUs
}

// TeamUsage returns the resources of all assignments of a team.
func (t *Table) TeamUsage(team TeamIndex) Usage { return t.usageByTeam[team] }

// adjustJobUsage adds the resources of all assignments of a job, computed from its current
// spec and multiplied by factor. factor is -1 before the spec changes and 1 after it.
func (t *Table) adjustJobUsage(job *Job, factor float64) {
	for assignment := range job.Assignments() {
		t.adjustUsage(assignment, factor)
		t.MarkMachineChanged(assignment.Machine)
	}
}

func (t *Table) adjustUsage(assignment *Assignment, factor float64) {
	usage := t.usageByTeam[assignment.Job.Team]
	usage.Add(&assignment.Job.Spec, factor)
	t.usageByTeam[assignment.Job.Team] = usage
}
