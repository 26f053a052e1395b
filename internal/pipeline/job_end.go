package pipeline

import "lugward/internal/record"

// handleTerminal handles a terminal record of the watch cache. It reports whether the record is
// new. A terminal record never changes, but the watch cache may deliver it more than once.
func (t *Table) handleTerminal(id string, data []byte) (isNew bool, err error) {
	if data == nil || t.Terminal.Has(id) {
		return false, nil
	}
	stored, err := record.DecodeTerminal(data)
	if err != nil {
		return false, err
	}
	terminal := TerminalRecord{Phase: Done, TaskCount: stored.TaskCount, Daemon: stored.Daemon}
	if stored.Cancelled {
		terminal.Phase = Cancelled
	}
	t.Terminal.add(id, terminal)
	t.propagateTerminal(id, terminal.Phase)
	t.pages.forgetLists(id, &t.graph.edges)
	if job := t.byID[id]; job != nil {
		t.endJob(job, terminal.Phase)
	}
	return true, nil
}

// endJob applies a terminal record to the state of its job.
func (t *Table) endJob(job *Job, phase Phase) {
	job.TerminalPhase = phase
	t.forgetUpstream(job)
	t.unmarkUpstreamCancelled(job)
	if job.activeCount > 0 {
		t.endedWithTasks[job] = true
		for assignment := range job.Assignments() {
			t.MarkMachineChanged(assignment.Machine)
		}
	}
	t.removeUnpersistedAssignments(job)
	if phase == Done {
		t.removeCompletedAssignments(job)
	}
	t.removeIfNoRecords(job)
}

// removeUnpersistedAssignments removes the assignments of a job with a terminal record
// that are not persisted. They never will be, since their write requires that the job has
// no terminal record.
func (t *Table) removeUnpersistedAssignments(job *Job) {
	for index := range job.segments {
		for task, assignment := range job.segments[index].assignments {
			if !assignment.persisted {
				delete(job.segments[index].assignments, task)
				t.removeAssignment(assignment)
			}
		}
	}
}

// DrainEndedJobs returns and clears the list of jobs that have ended while their tasks may
// still be on machines.
func (t *Table) DrainEndedJobs() []*Job {
	list := make([]*Job, 0, len(t.endedWithTasks))
	for job := range t.endedWithTasks {
		list = append(list, job)
	}
	clear(t.endedWithTasks)
	return list
}
