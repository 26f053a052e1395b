package pipeline

// Reset discards the state of all jobs and assignments that only a leader has.
func (t *Table) Reset() {
	for job := range t.AllJobs() {
		t.resetJob(job)
	}
	clear(t.unsaved)
	clear(t.retries.unsaved)
	clear(t.retries.deletionsInFlight)
	clear(t.endedWithTasks)
	for job := range t.AllJobs() {
		// All tasks are persisted as done, but the term of the leader that wrote them
		// has ended. No other event would cause the terminal record to be written.
		if job.complete() {
			t.unsaved[job] = true
		}
		if job.TerminalPhase != Queued && job.activeCount > 0 {
			t.endedWithTasks[job] = true
		}
	}
	t.RequestRound()
}

// resetJob discards the state of a job that only a leader has.
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
		segment.doneUnassigned = nil
		for task, assignment := range segment.assignments {
			if !assignment.persisted {
				delete(segment.assignments, task)
				t.removeAssignment(assignment)
				continue
			}
			t.MarkMachineChanged(assignment.Machine)
			assignment.reset()
		}
	}
	job.pendingDoneCount = 0
	job.evictingCount = 0
}

// reset discards the state of an assignment that only a leader has.
func (a *Assignment) reset() {
	a.assignmentStatus = assignmentStatus{}
}
