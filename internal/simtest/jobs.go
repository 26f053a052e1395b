package simtest

import (
	"slices"
	"sort"
	"time"
)

// jobRecord is a submitted job with its specification and state.
type jobRecord struct {
	jobSpec
	jobSubmission
	jobExecution
}

// jobSpec is the specification of a job.
type jobSpec struct {
	id          string
	team, class string
	shape       string
	taskCount   int
	resources   // of each task
	jobPlacement
	checkpointInterval time.Duration // zero if the job stores no checkpoints
	checkpointDuration time.Duration
	runTime            time.Duration // of each task
	imageFetchTime     time.Duration
	jobFailures
}

// jobPlacement holds the placement constraints of a job's tasks.
type jobPlacement struct {
	machineTypes []string // nil means any
	zone         string   // empty means any
	sameZone     bool     // all tasks run in one zone
	scatter      bool     // at most half of the tasks run in one zone
	allowSpot    bool
}

// jobFailures specifies which tasks fail on every machine.
type jobFailures struct {
	broken      bool // all tasks fail
	failingTask int  // 1 + the index of the only task that fails; zero if none does
}

// jobSubmission holds the submission of a job by its user.
type jobSubmission struct {
	submitted       bool
	body            []byte        // of the submitting request
	upstream        []string      // jobs that must be done before any task of this job starts
	expectedRefusal int           // status with which the submission must be refused; zero if the job is valid
	firstAnsweredAt time.Duration // when its user first received an answer; zero if never
}

// jobExecution is the progress of a job on workers.
type jobExecution struct {
	startedAt       time.Duration         // when the first task ran, or the whole gang; zero if never
	startedAttempts int                   // task starts that workers executed
	stoppedTasks    int                   // tasks stopped by a command while the job was neither finished nor cancelled
	progress        map[int]time.Duration // run time up to the last stored checkpoint, by task index
	completed       map[int]bool          // completed tasks, by index
	gangs           map[uint64]*gangRun   // by attempt
}

func newJobRecord(id string) *jobRecord {
	return &jobRecord{
		jobSpec:      jobSpec{id: id},
		jobExecution: jobExecution{progress: map[int]time.Duration{}, completed: map[int]bool{}, gangs: map[uint64]*gangRun{}},
	}
}

// alwaysFails reports whether a task of the job fails on every machine.
func (job *jobRecord) alwaysFails(index int) bool { return job.broken || index+1 == job.failingTask }

// recordStart records when the job first ran.
func (job *jobRecord) recordStart(now time.Duration) {
	if job.startedAt == 0 {
		job.startedAt = now
	}
}

// acceptedJobs returns the sorted IDs of the acknowledged jobs that are not cancelled, neither
// directly nor through an upstream job.
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

// allows reports whether a task of the job may run on a machine, regardless of where the
// job's other tasks run.
func (job *jobRecord) allows(worker *fakeWorker) bool {
	if job.machineTypes != nil && !slices.Contains(job.machineTypes, worker.machineType) {
		return false
	}
	if job.zone != "" && job.zone != worker.zone {
		return false
	}
	return job.allowSpot || !worker.spot
}

// maxTasksPerZone returns how many tasks of a scattered job may run in a zone.
func (job *jobRecord) maxTasksPerZone() int { return (job.taskCount + 1) / 2 }

// canSucceed reports whether the job is valid and not all of its tasks always fail.
func (job *jobRecord) canSucceed() bool { return !job.broken && job.expectedRefusal == 0 }
