package pipeline

import "lugward/internal/record"

// onTerminal takes a terminal record of the watch cache. It reports whether the record is
// new: it never changes, and may be shown twice.
func (t *Table) onTerminal(id string, data []byte) (isNew bool, err error) {
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
	if job := t.byID[id]; job != nil {
		t.endJob(job, terminal.Phase)
	}
	return true, nil
}

// endJob takes over a terminal record in the job's own state.
func (t *Table) endJob(job *Job, phase Phase) {
	job.TerminalPhase = phase
	t.unlink(job)
	t.unmarkUpstreamCancelled(job)
	if job.activeCount > 0 {
		t.endedWithTasks[job] = true
		for assignment := range job.Assignments() {
			t.NoteMachineChanged(assignment.Machine)
		}
	}
	t.removePlacements(job)
	if phase == Done {
		t.dropCompleted(job)
	}
	t.forget(job)
}

// removePlacements removes the placements of a job with a terminal record that are not
// stored: they never will be, as their write requires that there is no such record.
func (t *Table) removePlacements(job *Job) {
	for index := range job.segments {
		for task, assignment := range job.segments[index].assignments {
			if !assignment.durable {
				delete(job.segments[index].assignments, task)
				t.removeAssignment(assignment)
			}
		}
	}
}

// TakeEndedJobs returns, once each, the jobs that have ended while tasks of theirs
// may be on machines.
func (t *Table) TakeEndedJobs() []*Job {
	list := make([]*Job, 0, len(t.endedWithTasks))
	for job := range t.endedWithTasks {
		list = append(list, job)
	}
	clear(t.endedWithTasks)
	return list
}
