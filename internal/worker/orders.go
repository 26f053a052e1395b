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

func startOrder(entry *pipeline.Entry) Order {
	return Order{Verb: verbStart, Task: taskName(entry), Attempt: entry.Attempt}
}

func stopOrder(task string, attempt uint64, gracePeriod float64) Order {
	return Order{Verb: verbStop, Task: task, Attempt: attempt, GracePeriod: &gracePeriod}
}

func reapOrder(task *TaskReport) Order {
	return Order{Verb: verbReap, Task: task.Task, Attempt: task.Attempt}
}

// answer is the answer to a report while it is put together.
type answer struct {
	machine   *Machine
	report    *Report
	confirmed bool // the report carries our fencing token: it proves what it does not list
	mayStart  bool
	listed    map[*pipeline.Entry]bool // in the report

	reaps  []Order
	stops  []Order
	starts []Order
}

// orders lists the orders, reaps first: a start is refused while another attempt is
// listed.
func (a *answer) orders() []Order {
	return append(append(a.reaps, a.stops...), a.starts...)
}

// Orders returns what to answer to a report that was taken, as things stand now.
func (r *Registry) Orders(report *Report, now event.Time, term Term) []Order {
	answer := &answer{
		machine:   r.Machine(report.Machine, now),
		report:    report,
		confirmed: report.FencingToken == term.FencingToken(),
		mayStart:  term.MayStart(now),
		listed:    map[*pipeline.Entry]bool{},
	}
	answer.machine.UnknownTasks = 0
	for i := range report.Tasks {
		r.answerTask(answer, r.find(answer.machine, &report.Tasks[i]))
	}
	for _, entry := range r.sortedEntries(answer.machine) {
		if !answer.listed[entry] && entry.Stored() {
			r.answerUnlisted(answer, entry)
		}
	}
	answer.machine.LastAnswer = now
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
	cancelled := task.entry.Job.Final == pipeline.Cancelled
	if task.entry.Pending != pipeline.NoPendingWrite && !cancelled {
		return
	}
	if stop, gracePeriod := mustStop(task.entry); stop {
		answer.stops = append(answer.stops, stopOrder(task.Task, task.Attempt, gracePeriod))
	}
}

// answerUnknown decides what to do with a listed task that no entry explains.
func answerUnknown(answer *answer, task reportedTask) {
	switch {
	case task.newResult(): // reaped once it is stored
	case task.exited():
		answer.reaps = append(answer.reaps, reapOrder(task.TaskReport))
	default:
		answer.machine.UnknownTasks++
		answer.stops = append(answer.stops, stopOrder(task.Task, task.Attempt, 0))
	}
}

// answerUnlisted decides what to do with a stored entry that the report lacks.
func (r *Registry) answerUnlisted(answer *answer, entry *pipeline.Entry) {
	stop, _ := mustStop(entry)
	lost := entry.Phase >= pipeline.Waiting && answer.confirmed
	switch {
	case !stop && lost && entry.Job.IsGang():
		// The worker lost it: the rest of the gang cannot go on.
		r.stopGang(entry.Job)
		r.Jobs.Clear(entry)
	case !stop && answer.mayStart:
		answer.starts = append(answer.starts, startOrder(entry))
		// If it was there before it was lost with the worker's session.
		entry.OrderedSequence = answer.report.Sequence
		entry.Phase = pipeline.Unseen
		entry.StartedAt = 0
		answer.machine.Images[entry.Job.Image] = true
	case stop && answer.confirmed:
		// A worker has one report in flight and carries out no late answer: a
		// start that this report does not show will not happen.
		r.Jobs.Clear(entry)
	}
}

// mustStop tells whether a task is to be stopped, and with how much grace.
func mustStop(entry *pipeline.Entry) (stop bool, gracePeriod float64) {
	if entry.Job.Final != pipeline.Queued {
		return true, 0
	}
	return entry.Evict, entry.GracePeriod
}
