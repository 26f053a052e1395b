package simtest

import (
	"slices"
	"sort"
	"time"
)

// jobRecord is a submitted job and what has become of it.
type jobRecord struct {
	jobSpec
	jobSubmission
	jobExecution
}

// jobSpec is what a job asks for.
type jobSpec struct {
	id          string
	team, class string
	shape       string
	taskCount   int
	resources   // of each task
	jobPlacement
	checkpointInterval time.Duration // 0: it stores no checkpoints
	checkpointDuration time.Duration
	runTime            time.Duration // of each task
	imageFetchTime     time.Duration
	jobFailures
}

// jobPlacement is where tasks of a job may run.
type jobPlacement struct {
	machineTypes []string // nil: any
	zone         string   // "": any
	sameZone     bool     // all tasks run in one zone
	scatter      bool     // at most half of the tasks run in one zone
	allowSpot    bool
}

// jobFailures tell which tasks fail on every machine.
type jobFailures struct {
	broken     bool // all
	brokenTask int  // 1 + the number of the only one, 0: none
}

// jobSubmission is what its user has done with a job.
type jobSubmission struct {
	submitted       bool
	body            []byte        // of the request
	upstream        []string      // jobs that must be done before any task of it starts
	expectedRefusal int           // the status with which it must be refused, 0: it can run
	firstAnsweredAt time.Duration // when its user first got an answer
}

// jobExecution is what workers have done of a job.
type jobExecution struct {
	startedAt       time.Duration         // when it first ran, a gang as a whole
	startedAttempts int                   // starts that workers executed
	stoppedTasks    int                   // tasks stopped by a command while the job was neither finished nor cancelled
	progress        map[int]time.Duration // of tasks that stored a checkpoint, by index
	completed       map[int]bool          // tasks, by index
	gangs           map[uint64]*gangRun   // by attempt
}

func newJobRecord(id string) *jobRecord {
	return &jobRecord{
		jobSpec:      jobSpec{id: id},
		jobExecution: jobExecution{progress: map[int]time.Duration{}, completed: map[int]bool{}, gangs: map[uint64]*gangRun{}},
	}
}

// alwaysFails reports whether a task of the job fails on every machine.
func (job *jobRecord) alwaysFails(index int) bool { return job.broken || index+1 == job.brokenTask }

// markStarted notes when the job first ran.
func (job *jobRecord) markStarted(now time.Duration) {
	if job.startedAt == 0 {
		job.startedAt = now
	}
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

// allows reports whether a task of the job may run on a machine, wherever its others are.
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

// canSucceed reports whether the job may be accepted and not all of its tasks always fail.
func (job *jobRecord) canSucceed() bool { return !job.broken && job.expectedRefusal == 0 }
