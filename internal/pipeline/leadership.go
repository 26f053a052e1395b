package pipeline

// Reset drops everything that only a leader knows.
func (t *Table) Reset() {
	for job := range t.AllJobs() {
		t.resetJob(job)
	}
	clear(t.unsaved)
	clear(t.retries.unsaved)
	clear(t.retries.deletionsInFlight)
	clear(t.endedWithTasks)
	for job := range t.AllJobs() {
		// All tasks are logged as done and the leader that logged it has lost its
		// term: nothing else would ever write the completion.
		if job.complete() {
			t.unsaved[job] = true
		}
		if job.TerminalPhase != Queued && job.activeCount > 0 {
			t.endedWithTasks[job] = true
		}
	}
	t.RequestRound()
}

// resetJob drops what only a leader knows of a job.
func (t *Table) resetJob(job *Job) {
	t.resetRetry(job)
	job.leaderState = leaderState{}
	job.deletionInFlight = false
	job.terminalWriteInFlight = false
	for index := range job.segments {
		segment := &job.segments[index]
		segment.unsaved = false
		segment.unsentPlacement = false
		segment.nextWrite = 0
		for task, assignment := range segment.assignments {
			if !assignment.durable {
				delete(segment.assignments, task)
				t.removeAssignment(assignment)
				continue
			}
			t.NoteMachineChanged(assignment.Machine)
			assignment.reset()
		}
	}
	job.pendingDoneCount = 0
}

// reset drops what only a leader knows of an assignment.
func (a *Assignment) reset() {
	a.assignmentStatus = assignmentStatus{}
}
