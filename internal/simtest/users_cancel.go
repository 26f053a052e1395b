package simtest

import "time"

// handleTaskCompleted handles the completion of a task. When the last task of a job completes, the
// job may be cancelled, resubmitted and polled within the next second.
func (users *fakeUsers) handleTaskCompleted(job *jobRecord) {
	if len(job.completed) < job.taskCount || users.world.checker.cancelRequests[job.id] || !users.world.chance(users.cancelAtEnd) {
		return
	}
	users.world.checker.cancelRequests[job.id] = true
	users.world.schedule(users.world.randomDuration(0, time.Second), func() { users.cancelInBackground(job.id) })
	users.world.schedule(users.world.randomDuration(0, time.Second), func() { users.resubmitInBackground(job.id) })
	users.world.schedule(users.world.randomDuration(0, time.Second), func() { users.pollInBackground(job.id) })
}

// runningJobs returns the accepted jobs that have a task on a machine and no requested
// cancellation.
func (users *fakeUsers) runningJobs() []string {
	var ids []string
	seen := map[string]bool{}
	for _, assignment := range users.world.checker.executingAssignments() {
		if id := assignment.job.id; !seen[id] && users.world.checker.acknowledgedPhase[id] != "" && !users.world.checker.cancelRequests[id] {
			seen[id] = true
			ids = append(ids, id)
		}
	}
	return ids
}

// cancelRunningJobs cancels up to count random running jobs within 200 ms, and lets up to eight of
// their machines hang for hangTime. It returns the IDs of the jobs.
func (users *fakeUsers) cancelRunningJobs(count int, hangTime time.Duration) []string {
	ids := users.runningJobs()
	users.world.random.Shuffle(len(ids), func(a, b int) { ids[a], ids[b] = ids[b], ids[a] })
	ids = ids[:min(count, len(ids))]
	for _, id := range ids {
		users.world.checker.cancelRequests[id] = true
		users.world.schedule(users.world.randomDuration(0, 200*time.Millisecond), func() { users.cancelInBackground(id) })
	}
	if hangTime > 0 {
		hung := map[*fakeWorker]bool{}
		for _, assignment := range users.world.checker.executingAssignments() {
			for _, id := range ids {
				if assignment.job.id == id && len(hung) < 8 && !hung[assignment.worker] {
					hung[assignment.worker] = true
					worker := assignment.worker
					users.world.schedule(users.world.randomDuration(0, 400*time.Millisecond), func() { worker.hang(hangTime) })
				}
			}
		}
	}
	return ids
}
