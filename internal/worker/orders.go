package worker

import (
	"lugward/internal/event"
	"lugward/internal/pipeline"
)

// Verbs of orders in the protocol.
const (
	verbStart = "start"
	verbStop  = "stop"
	verbReap  = "reap" // forget a task that has terminated
)

func startCommand(entry *pipeline.Assignment) Command {
	return Command{Verb: verbStart, Task: taskName(entry), Attempt: entry.Attempt}
}

func terminateCommand(task string, attempt uint64, gracePeriod float64) Command {
	return Command{Verb: verbStop, Task: task, Attempt: attempt, GracePeriod: &gracePeriod}
}

func reapCommand(task *TaskStatus) Command {
	return Command{Verb: verbReap, Task: task.Task, Attempt: task.Attempt}
}

// answer is the answer to a report while it is put together.
type answer struct {
	machine   *Machine
	report    *Heartbeat
	confirmed bool // the report carries our fencing token: it proves what it does not list
	mayStart  bool
	listed    map[*pipeline.Assignment]bool // in the report

	reaps  []Command
	stops  []Command
	starts []Command
}

// orders lists the orders, reaps first: a start is refused while another attempt is
// listed.
func (a *answer) orders() []Command {
	return append(append(a.reaps, a.stops...), a.starts...)
}

// Commands returns what to answer to a report that was taken, as things stand now.
func (r *Registry) Commands(report *Heartbeat, now event.Time, term Leadership) []Command {
	answer := &answer{
		machine:   r.Add(report.Machine, now),
		report:    report,
		confirmed: report.FencingToken == term.FencingToken(),
		mayStart:  term.IsLeader(now),
		listed:    map[*pipeline.Assignment]bool{},
	}
	answer.machine.unknownTasks = 0
	for i := range report.Tasks {
		r.answerTask(answer, r.find(answer.machine, &report.Tasks[i]))
	}
	for _, entry := range r.sortedAssignments(answer.machine) {
		if !answer.listed[entry] && entry.Stored() {
			r.answerUnlisted(answer, entry)
		}
	}
	answer.machine.lastAnswer = now
	return answer.orders()
}

// answerTask decides what to do with a task that the report lists.
func (r *Registry) answerTask(answer *answer, task reportedTask) {
	if task.entry == nil {
		answerUnknown(answer, task)
		return
	}
	answer.listed[task.entry] = true
	if task.exited() {
		return
	}
	// A cancelled job's task is stopped whatever write is pending: one that was
	// taken to have terminated may hang and go on.
	cancelled := task.entry.Job.TerminalPhase == pipeline.Cancelled
	if task.entry.Pending != pipeline.NoPendingWrite && !cancelled {
		return
	}
	if stop, gracePeriod := mustTerminate(task.entry); stop {
		answer.stops = append(answer.stops, terminateCommand(task.Task, task.Attempt, gracePeriod))
	}
}

// answerUnknown decides what to do with a listed task that no entry explains.
func answerUnknown(answer *answer, task reportedTask) {
	switch {
	case task.newResult(): // reaped once it is stored
	case task.exited():
		answer.reaps = append(answer.reaps, reapCommand(task.TaskStatus))
	default:
		answer.machine.unknownTasks++
		answer.stops = append(answer.stops, terminateCommand(task.Task, task.Attempt, 0))
	}
}

// answerUnlisted decides what to do with a stored entry that the report lacks.
func (r *Registry) answerUnlisted(answer *answer, entry *pipeline.Assignment) {
	stop, _ := mustTerminate(entry)
	lost := entry.Phase >= pipeline.TaskWaitingForGang && answer.confirmed
	switch {
	case !stop && lost && entry.Job.IsGang():
		// The worker lost it: the rest of the gang cannot go on.
		r.terminateGang(entry.Job)
		r.jobs.RecordTermination(entry)
	case !stop && answer.mayStart:
		answer.starts = append(answer.starts, startCommand(entry))
		// If it was there before it was lost with the worker's session.
		entry.OrderedSequence = answer.report.Sequence
		entry.Phase = pipeline.TaskUnseen
		entry.StartedAt = 0
		answer.machine.images[entry.Job.Image] = true
	case stop && answer.confirmed:
		// A worker has one report in flight and carries out no late answer: a
		// start that this report does not show will not happen.
		r.jobs.RecordTermination(entry)
	}
}

// mustTerminate tells whether a task is to be stopped, and with how much grace.
func mustTerminate(entry *pipeline.Assignment) (stop bool, gracePeriod float64) {
	if entry.Job.TerminalPhase != pipeline.Queued {
		return true, 0
	}
	return entry.Evicting, entry.GracePeriod
}
