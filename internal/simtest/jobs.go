package simtest

import (
	"sort"
	"time"
)

// jobRecord is a submitted job and what has become of it.
type jobRecord struct {
	id                 string
	team, class        string
	firstAnsweredAt    time.Duration // when its user first got an answer
	startedAt          time.Duration // when it first ran, a gang as a whole
	shape              string
	taskCount          int
	cpus, gpus         float64
	memory             float64
	machineTypes       []string
	zone               string
	sameZone, scatter  bool
	allowSpot          bool
	checkpointInterval time.Duration
	checkpointDuration time.Duration
	runTime            time.Duration
	imageFetchTime     time.Duration
	broken             bool // fails on every machine
	brokenTask         int  // 1 + the number of the only task that fails on every machine, 0: none
	startedAttempts    int  // starts that workers executed
	stoppedTasks       int  // tasks stopped by a command while the job was neither finished nor cancelled
	progress           map[int]time.Duration
	completed          map[int]bool
	gangs              map[uint64]*gangRun
	submitted          bool
	upstream           []string // jobs that must be done before any task of it starts
	body               []byte   // the submission
	expectedRefusal    int      // the status with which it must be refused, 0: it can run
}

// alwaysFails tells whether a task of the job fails on every machine.
func (job *jobRecord) alwaysFails(index int) bool { return job.broken || index+1 == job.brokenTask }

func (job *jobRecord) markStarted(now time.Duration) {
	if job.startedAt == 0 {
		job.startedAt = now
	}
}

func (job *jobRecord) idOrEmpty() string {
	if job == nil {
		return ""
	}
	return job.id
}

// taskCompleted is called when a task completes: the last one's job may be cancelled,
// asked about and submitted again at that very moment.
func (world *World) taskCompleted(job *jobRecord) {
	if len(job.completed) < job.taskCount || world.checker.cancelRequests[job.id] || !world.chance(world.cancelAtEnd) {
		return
	}
	world.checker.cancelRequests[job.id] = true
	world.schedule(world.randomDuration(0, time.Second), func() { world.cancelInBackground(job.id) })
	world.schedule(world.randomDuration(0, time.Second), func() { world.resubmitInBackground(job.id) })
	world.schedule(world.randomDuration(0, time.Second), func() { world.pollInBackground(job.id) })
}

// runningJobs lists the accepted jobs that have a task on a machine and that
// nobody cancelled.
func (world *World) runningJobs() []string {
	var ids []string
	seen := map[string]bool{}
	for _, assignment := range world.checker.onMachines() {
		if id := assignment.job.id; !seen[id] && world.checker.acknowledgedPhase[id] != "" && !world.checker.cancelRequests[id] {
			seen[id] = true
			ids = append(ids, id)
		}
	}
	return ids
}

// cancelNow cancels so many running jobs within a fifth of a second, and lets
// up to eight of their machines hang for d.
func (world *World) cancelNow(count int, duration time.Duration) []string {
	ids := world.runningJobs()
	world.random.Shuffle(len(ids), func(a, b int) { ids[a], ids[b] = ids[b], ids[a] })
	ids = ids[:min(count, len(ids))]
	for _, id := range ids {
		world.checker.cancelRequests[id] = true
		world.schedule(world.randomDuration(0, 200*time.Millisecond), func() { world.cancelInBackground(id) })
	}
	if duration > 0 {
		hung := map[*fakeWorker]bool{}
		for _, assignment := range world.checker.onMachines() {
			for _, id := range ids {
				if assignment.job.id == id && len(hung) < 8 && !hung[assignment.worker] {
					hung[assignment.worker] = true
					worker := assignment.worker
					world.schedule(world.randomDuration(0, 400*time.Millisecond), func() { worker.hang(duration) })
				}
			}
		}
	}
	return ids
}

// acceptedJobs lists the jobs whose users got an answer and did not cancel.
func (world *World) acceptedJobs() []string {
	var ids []string
	for id := range world.checker.acknowledgedPhase {
		if !world.checker.cancelRequested(id) {
			ids = append(ids, id)
		}
	}
	sort.Strings(ids)
	return ids
}
