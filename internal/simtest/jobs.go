package simtest

import (
	"slices"
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

// allows tells whether a task of the job may run on a machine, wherever its others are.
func (job *jobRecord) allows(worker *fakeWorker) bool {
	if job.machineTypes != nil && !slices.Contains(job.machineTypes, worker.machineType) {
		return false
	}
	if job.zone != "" && job.zone != worker.zone {
		return false
	}
	return job.allowSpot || !worker.spot
}

// maxTasksPerZone is how many tasks of a scattered job may run in a zone.
func (job *jobRecord) maxTasksPerZone() int { return (job.taskCount + 1) / 2 }

// canSucceed tells whether the job may be accepted and not all of its tasks always fail.
func (job *jobRecord) canSucceed() bool { return !job.broken && job.expectedRefusal == 0 }
