package core

import (
	"encoding/json"
	"time"

	"lugward/internal/event"
	"lugward/internal/worker"
)

const (
	// answerTimeout: a report is answered when its consequences are stored, or
	// after this. A write takes milliseconds; a slow one is not waited for.
	answerTimeout = 400 * time.Millisecond
	// idleAnswerTimeout is how long the report of a machine without tasks
	// waits: nothing can change there, and a start that is decided meanwhile
	// need not wait for the next report. The worker waits for 4 s.
	idleAnswerTimeout = 2500 * time.Millisecond
	// idleSocketDivisor: waiting reports of idle machines take 1/4 of all
	// sockets at most, as other machines may need the rest.
	idleSocketDivisor = 4
)

// waitingReport is a report that was taken and is not answered yet.
type waitingReport struct {
	from     replyTo
	report   *worker.Report
	machine  int        // index
	since    event.Time // when it was taken
	idle     bool       // its machine is idle, so it waits for idleAnswerTimeout
	answered bool
}

// reports are the reports that wait for their answers, one for each machine at
// most. With a thousand machines some hundred wait at any time, so one is
// looked at again only when something about its machine has changed, when a
// round is over, or when its time has come.
type reports struct {
	byMachine map[int]*waitingReport
	// Queues by time, oldest first. A report that is answered, or has moved
	// from pending to idle, leaves its queue when it comes to the head.
	pending      []*waitingReport // due after answerTimeout
	idle         []*waitingReport // due after idleAnswerTimeout
	idleCount    int              // unanswered ones in idle
	recheck      []int            // machines whose reports are to be looked at again
	roundPending bool             // when we last looked, a change waited for its round
}

// add takes a report. It returns the report that the same machine has sent
// before, if that still waited; the caller answers it.
func (r *reports) add(report *waitingReport) (replaced *waitingReport) {
	if r.byMachine == nil {
		r.byMachine = map[int]*waitingReport{}
	}
	replaced = r.byMachine[report.machine]
	if replaced != nil {
		r.markAnswered(replaced)
	}
	r.byMachine[report.machine] = report
	r.pending = append(r.pending, report)
	r.recheck = append(r.recheck, report.machine)
	return replaced
}

// markAnswered takes a report off those that wait.
func (r *reports) markAnswered(report *waitingReport) {
	report.answered = true
	if report.idle {
		r.idleCount--
	}
	if r.byMachine[report.machine] == report {
		delete(r.byMachine, report.machine)
	}
}

// markIdle lets a report wait for idleAnswerTimeout.
func (r *reports) markIdle(report *waitingReport) {
	if report.idle {
		return
	}
	report.idle = true
	r.idleCount++
	r.idle = append(r.idle, report)
}

// oldestPending returns the oldest report that waits for answerTimeout, nil if
// there is none.
func (r *reports) oldestPending() *waitingReport {
	return oldest(&r.pending, func(report *waitingReport) bool { return !report.answered && !report.idle })
}

// oldestIdle returns the oldest report that waits for idleAnswerTimeout, nil
// if there is none.
func (r *reports) oldestIdle() *waitingReport {
	return oldest(&r.idle, func(report *waitingReport) bool { return !report.answered })
}

// oldest returns the first report of a queue that still belongs there, and
// drops those before it.
func oldest(queue *[]*waitingReport, belongs func(*waitingReport) bool) *waitingReport {
	for len(*queue) > 0 {
		head := (*queue)[0]
		if belongs(head) {
			return head
		}
		(*queue)[0] = nil // for the garbage collector
		*queue = (*queue)[1:]
	}
	return nil
}

// appendPending appends the machines of all reports that wait for answerTimeout.
func (r *reports) appendPending(machines []int) []int {
	for _, report := range r.pending {
		if !report.answered && !report.idle {
			machines = append(machines, report.machine)
		}
	}
	return machines
}

// answerReports answers the reports whose consequences are stored: what
// completed can then be dropped by its worker, and what takes its place
// started, with the same answer.
func (n *Node) answerReports(now event.Time, out *event.Effects) {
	waiting := &n.waiting
	recheck := append(waiting.recheck, n.jobs.TakeChangedMachines()...)
	waiting.recheck = nil
	if len(waiting.byMachine) == 0 {
		return
	}
	if !n.leadership.active || !n.election.MayStart(now) {
		// No term, or only its grace: nothing can be stored, so nothing is waited for.
		n.answerAll(now, out)
		return
	}
	roundOver := waiting.roundPending && !n.jobs.Changed
	waiting.roundPending = n.jobs.Changed
	if roundOver {
		recheck = waiting.appendPending(recheck)
	}
	for _, machine := range recheck {
		if report := waiting.byMachine[machine]; report != nil {
			n.reviewReport(report, now, out)
		}
	}
	n.answerOverdue(now, out)
}

// answerAll answers every report that waits.
func (n *Node) answerAll(now event.Time, out *event.Effects) {
	for _, queue := range [][]*waitingReport{n.waiting.pending, n.waiting.idle} {
		for _, report := range queue {
			if !report.answered {
				n.answerReport(report, now, out)
			}
		}
	}
	n.waiting.pending = nil
	n.waiting.idle = nil
}

// answerOverdue answers the reports whose time has come, and the oldest of idle
// machines beyond the sockets that these may take.
func (n *Node) answerOverdue(now event.Time, out *event.Effects) {
	waiting := &n.waiting
	for {
		report := waiting.oldestPending()
		if report == nil || now-report.since < answerTimeout {
			break
		}
		n.reviewReport(report, now, out)
	}
	idleLimit := n.cfg.Settings.Resources.MaxConnections / idleSocketDivisor
	for {
		report := waiting.oldestIdle()
		if report == nil || (now-report.since < idleAnswerTimeout && waiting.idleCount <= idleLimit) {
			break
		}
		n.answerReport(report, now, out)
	}
}

// reviewReport answers a report unless its answer may soon say more.
func (n *Node) reviewReport(report *waitingReport, now event.Time, out *event.Effects) {
	waited := now - report.since
	if !report.idle && waited < answerTimeout && n.jobs.Changed {
		return // the next round may place something on the machine
	}
	if waited < idleAnswerTimeout && n.workers.Idle(report.report) {
		n.waiting.markIdle(report)
		return
	}
	if waited < answerTimeout && !n.workers.Settled(report.machine) {
		return // changes of the machine's entries are not stored yet
	}
	n.answerReport(report, now, out)
}

// answerReport answers a report with the orders for its machine, or refuses it
// if we may not answer as leader any more.
func (n *Node) answerReport(report *waitingReport, now event.Time, out *event.Effects) {
	n.waiting.markAnswered(report)
	if !n.leadsReports(now) || n.autoscaler.Released(report.report.Machine) {
		n.respond(report.from, event.StatusServiceUnavailable, nil, out)
		return
	}
	orders := n.workers.Orders(report.report, now, n.election)
	if orders == nil {
		orders = []worker.Order{} // the protocol has a list, never null
	}
	body, _ := json.Marshal(reportAnswer{FencingToken: n.election.FencingToken(), Orders: orders})
	n.respond(report.from, event.StatusOK, body, out)
}

// reportAnswer is the body of the answer to a report.
type reportAnswer struct {
	FencingToken uint64         `json:"fence"`
	Orders       []worker.Order `json:"orders"`
}
