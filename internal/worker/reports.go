package worker

import (
	"strconv"
	"strings"
	"time"

	"lugward/internal/event"
	"lugward/internal/pipeline"
)

// retryPause is how long nothing is placed on a machine whose worker refused a
// task.
const refusedPause = 4 * time.Second

// Causes of a task's end in the protocol.
const (
	causeDone    = "done"
	causeError   = "error"
	causeFull    = "full"    // the worker has no capacity
	causeInUse   = "in_use"  // another attempt is on the worker
	causeUnknown = "unknown" // nobody has uploaded the image
)

// phaseExited is the phase of a task that has terminated in the protocol.
const phaseExited = "exited"

var phases = map[string]pipeline.TaskPhase{
	"pulling":   pipeline.TaskPulling,
	"waiting":   pipeline.TaskWaitingForGang,
	"running":   pipeline.TaskRunning,
	"saving":    pipeline.TaskCheckpointing,
	phaseExited: pipeline.TaskExited,
}

// exited tells whether the task has terminated.
func (t *TaskStatus) exited() bool { return t.Phase == phaseExited }

// ParseTaskName splits a task's name into its job and number.
func ParseTaskName(name string) (job string, task int, ok bool) {
	slash := strings.LastIndexByte(name, '/')
	if slash < 0 {
		return "", 0, false
	}
	task, err := strconv.Atoi(name[slash+1:])
	return name[:slash], task, err == nil && task >= 0
}

// taskName is a task's name.
func taskName(entry *pipeline.Assignment) string {
	return entry.Job.ID + "/" + strconv.Itoa(entry.Task)
}

// HandleHeartbeat takes a report in. ok is false for a report that is older than one we
// have seen.
func (r *Registry) HandleHeartbeat(report *Heartbeat, now event.Time, term Leadership) (ok bool) {
	machine := r.Add(report.Machine, now)
	if machine.isStale(report) || machine.incarnationExpired(report, now, term) {
		return false
	}
	term.ObserveFencingToken(report.FencingToken)
	r.updateMachine(machine, report, now)
	for i := range report.Tasks {
		r.handleTaskStatus(machine, &report.Tasks[i], now)
	}
	// The tasks come before the question whether our answers arrive: what the
	// report shows is there, whatever a copy that came before did not show.
	r.checkReachable(machine, report, now, term)
	return true
}

// RecordRelay records that the last report of a machine came through another
// controller: the machine does not reach us itself.
func (r *Registry) RecordRelay(name string, now event.Time) {
	r.Add(name, now).relayedAt = now
}

// isStale tells whether a report is not newer than the last one: it was delayed by
// the network, or is a copy. Its list of tasks is out of date, and its sender waits
// for no answer.
func (c *contact) isStale(report *Heartbeat) bool {
	if report.Incarnation != c.incarnation {
		return report.Incarnation < c.incarnation
	}
	return report.Sequence <= c.sequence
}

// incarnationExpired tells whether the session of a report has ended since it was last
// answered: the report was delayed from before then, and its machine may be released.
func (c *contact) incarnationExpired(report *Heartbeat, now event.Time, term Leadership) bool {
	if report.Incarnation != c.incarnation || c.lastAnswer <= 0 {
		return false
	}
	return now >= term.TasksExpireAt(max(c.lastAnswer, c.lastHeartbeat))
}

// updateMachine takes in what a report says of its machine.
func (r *Registry) updateMachine(machine *Machine, report *Heartbeat, now event.Time) {
	if report.Incarnation != machine.incarnation && machine.incarnation != 0 {
		machine.images = map[int]bool{}
		r.log.Info("worker lost its lease", "machine", report.Machine, "session", report.Incarnation)
	}
	if machine.lastHeartbeat != 0 && now-machine.lastHeartbeat > r.heartbeatTimeout {
		machine.reconnectedAt = now
	}
	if machine.lastHeartbeat == 0 {
		machine.idleSince = now // it was not idle while it booted
		machine.firstHeartbeat = now
		r.jobs.RequestRound()
	}
	machine.addr = report.Addr
	machine.incarnation = report.Incarnation
	machine.sequence = report.Sequence
	machine.lastHeartbeat = now
	machine.Describe(r.names.MachineTypes.Index(report.MachineType), r.names.Zones.Index(report.Zone), report.Spot)
	switch {
	case report.ReclaimIn == nil:
		machine.reclaimAt = 0
	case machine.reclaimAt == 0:
		machine.reclaimAt = now + time.Duration(*report.ReclaimIn*float64(time.Second))
		r.jobs.RequestRound()
	}
}

// reportedTask is a task of a report with the job and entry that it belongs to.
type reportedTask struct {
	*TaskStatus
	job    *pipeline.Job        // nil: not known
	entry  *pipeline.Assignment // nil: none for this attempt on this machine
	number int
}

// find finds what a reported task belongs to.
func (r *Registry) find(machine *Machine, report *TaskStatus) reportedTask {
	found := reportedTask{TaskStatus: report}
	id, number, ok := ParseTaskName(report.Task)
	if !ok {
		return found
	}
	job := r.jobs.Job(id)
	if job == nil || number >= job.TaskCount {
		return found
	}
	found.job = job
	found.number = number
	entry := job.Assignment(number)
	if entry != nil && entry.Machine == machine.Index && entry.Attempt == report.Attempt {
		found.entry = entry
	}
	return found
}

// newResult tells whether a task without an entry is done though its job does not
// know that yet. The result counts, whichever attempt it came from.
func (t *reportedTask) newResult() bool {
	if !t.exited() || t.Cause != causeDone || t.job == nil {
		return false
	}
	return t.job.TerminalPhase == pipeline.Queued && !t.job.IsDone(t.number)
}

// handleTaskStatus takes in what a report says of a task.
func (r *Registry) handleTaskStatus(machine *Machine, report *TaskStatus, now event.Time) {
	task := r.find(machine, report)
	switch {
	case task.entry != nil:
		r.updateAssignment(machine, task.entry, report, now)
	case task.newResult():
		r.jobs.RecordCompletion(task.job, task.number) // reaped once it is stored
	}
}

// updateAssignment takes in what a report says of a task with an entry.
func (r *Registry) updateAssignment(machine *Machine, entry *pipeline.Assignment, report *TaskStatus, now event.Time) {
	phase := phases[report.Phase]
	started := phase >= pipeline.TaskWaitingForGang && phase < pipeline.TaskExited
	if started && entry.StartedAt == 0 {
		entry.StartedAt = now
		r.logStart(machine, entry, now)
	}
	entry.Phase = phase
	if phase >= pipeline.TaskWaitingForGang {
		machine.images[entry.Job.Image] = true
	}
	if phase == pipeline.TaskExited {
		r.taskExited(machine, entry, report.Cause, now)
	}
}

func (r *Registry) logStart(machine *Machine, entry *pipeline.Assignment, now event.Time) {
	job := entry.Job
	r.log.Debug("started",
		"job", job.ID,
		"class", r.names.Classes.Name(job.Class),
		"task", entry.Task,
		"attempt", entry.Attempt,
		"machine", machine.Name,
		"since_placed", now-entry.PlacedAt,
		"since_ready", now-job.ReadySince)
}

// taskExited takes in that a task has terminated. It is done, or its entry is
// cleared so that it can run again.
func (r *Registry) taskExited(machine *Machine, entry *pipeline.Assignment, cause string, now event.Time) {
	job := entry.Job
	r.jobs.RequestRound()
	r.jobs.NoteMachineChanged(machine.Index) // what the task used is free again
	if job.TerminalPhase != pipeline.Queued || job.IsDone(entry.Task) {
		// Nothing of it is to be recorded any more. A new leader finds such entries
		// where the one before it wrote the job's mark and did not get to drop the
		// job's records: left as it is, the entry would keep its machine for ever.
		r.jobs.RecordTermination(entry)
		return
	}
	switch cause {
	case causeDone:
		r.taskDone(machine, entry, now)
		return
	case causeError:
		if entry.Pending == pipeline.NoPendingWrite {
			r.taskFailed(machine, entry, now)
		}
	case causeFull, causeInUse:
		machine.unavailableUntil = now + refusedPause
	case causeUnknown:
		// Another attempt would fail as well until its user has uploaded the image.
		if !job.BackingOff(now) {
			r.jobs.BackOff(job, now)
		}
	}
	if job.IsGang() {
		r.terminateGang(job)
	}
	r.jobs.RecordTermination(entry)
}

// taskDone takes in that a task has completed. The tasks of a gang complete
// together: when one is done, all are.
func (r *Registry) taskDone(machine *Machine, entry *pipeline.Assignment, now event.Time) {
	job := entry.Job
	r.taskSucceeded(machine, job)
	if entry.Pending == pipeline.NoPendingWrite {
		r.recordRuntime(machine, entry, now)
	}
	if job.Shape != pipeline.Gang {
		r.jobs.RecordCompletion(job, entry.Task)
		return
	}
	for task := range job.TaskCount {
		r.jobs.RecordCompletion(job, task)
	}
}
