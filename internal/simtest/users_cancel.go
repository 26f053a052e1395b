package simtest

import "time"

// taskCompleted is called when a task completes: the last one's job may be cancelled,
// asked about and submitted again at that very moment.
func (users *fakeUsers) taskCompleted(job *jobRecord) {
	if len(job.completed) < job.taskCount || users.world.checker.cancelRequests[job.id] || !users.world.chance(users.cancelAtEnd) {
		return
	}
	users.world.checker.cancelRequests[job.id] = true
	users.world.schedule(users.world.randomDuration(0, time.Second), func() { users.cancelInBackground(job.id) })
	users.world.schedule(users.world.randomDuration(0, time.Second), func() { users.resubmitInBackground(job.id) })
	users.world.schedule(users.world.randomDuration(0, time.Second), func() { users.pollInBackground(job.id) })
}

// runningJobs lists the accepted jobs that have a task on a machine and that
// nobody cancelled.
func (users *fakeUsers) runningJobs() []string {
	var ids []string
	seen := map[string]bool{}
	for _, assignment := range users.world.checker.onMachines() {
		if id := assignment.job.id; !seen[id] && users.world.checker.acknowledgedPhase[id] != "" && !users.world.checker.cancelRequests[id] {
			seen[id] = true
			ids = append(ids, id)
		}
	}
	return ids
}

// cancelNow cancels so many running jobs within a fifth of a second, and lets
// up to eight of their machines hang for that long.
func (users *fakeUsers) cancelNow(count int, duration time.Duration) []string {
	ids := users.runningJobs()
	users.world.random.Shuffle(len(ids), func(a, b int) { ids[a], ids[b] = ids[b], ids[a] })
	ids = ids[:min(count, len(ids))]
	for _, id := range ids {
		users.world.checker.cancelRequests[id] = true
		users.world.schedule(users.world.randomDuration(0, 200*time.Millisecond), func() { users.cancelInBackground(id) })
	}
	if duration > 0 {
		hung := map[*fakeWorker]bool{}
		for _, assignment := range users.world.checker.onMachines() {
			for _, id := range ids {
				if assignment.job.id == id && len(hung) < 8 && !hung[assignment.worker] {
					hung[assignment.worker] = true
					worker := assignment.worker
					users.world.schedule(users.world.randomDuration(0, 400*time.Millisecond), func() { worker.hang(duration) })
				}
			}
		}
	}
	return ids
}
