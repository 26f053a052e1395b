package controller

import (
	"encoding/json"
	"time"

	"lugward/internal/event"
	"lugward/internal/httpwire"
	"lugward/internal/worker"
)

const (
	// heartbeatAnswerTimeout: a report is answered when its consequences are stored, or
	// after this. A write takes milliseconds; a slow one is not waited for.
	heartbeatAnswerTimeout = 400 * time.Millisecond
	// idleHeartbeatAnswerTimeout is how long the report of a machine without tasks
	// waits: nothing can change there, and a start that is decided meanwhile
	// need not wait for the next report. The worker waits for 4 s.
	idleHeartbeatAnswerTimeout = 2500 * time.Millisecond
	// idleSocketDivisor: waiting reports of idle machines take 1/4 of all
	// sockets at most, as other machines may need the rest.
	idleSocketDivisor = 4
)

// pendingHeartbeat is a report that was taken and is not answered yet.
type pendingHeartbeat struct {
	from      replyTo
	heartbeat *worker.Heartbeat
	machine   int        // index
	since     event.Time // when it was taken
	idle      bool       // its machine is idle, so it waits for idleHeartbeatAnswerTimeout
	answered  bool
}

// pendingHeartbeats are the reports that wait for their answers, one for each machine at
// most. With a thousand machines some hundred wait at any time, so one is
// looked at again only when something about its machine has changed, when a
// round is over, or when its time has come.
type pendingHeartbeats struct {
	byMachine map[int]*pendingHeartbeat
	// Queues by time, oldest first. A report that is answered, or has moved
	// from pending to idle, leaves its queue when it comes to the head.
	pending      []*pendingHeartbeat // due after heartbeatAnswerTimeout
	idle         []*pendingHeartbeat // due after idleHeartbeatAnswerTimeout
	idleCount    int                 // unanswered ones in idle
	recheck      []int               // machines whose reports are to be looked at again
	roundPending bool                // when we last looked, a change waited for its round
}

// add takes a report. It returns the report that the same machine has sent
// before, if that still waited; the caller answers it.
func (r *pendingHeartbeats) add(report *pendingHeartbeat) (replaced *pendingHeartbeat) {
	if r.byMachine == nil {
		r.byMachine = map[int]*pendingHeartbeat{}
	}
	replaced = r.byMachine[report.machine]
	if replaced != nil {
		r.noteAnswered(replaced)
	}
	r.byMachine[report.machine] = report
	r.pending = append(r.pending, report)
	r.recheck = append(r.recheck, report.machine)
	return replaced
}

// noteAnswered takes a report off those that wait.
func (r *pendingHeartbeats) noteAnswered(report *pendingHeartbeat) {
	report.answered = true
	if report.idle {
		r.idleCount--
	}
	if r.byMachine[report.machine] == report {
		delete(r.byMachine, report.machine)
	}
}

// noteIdle lets a report wait for idleHeartbeatAnswerTimeout.
func (r *pendingHeartbeats) noteIdle(report *pendingHeartbeat) {
	if report.idle {
		return
	}
	report.idle = true
	r.idleCount++
	r.idle = append(r.idle, report)
}

// oldestPending returns the oldest report that waits for heartbeatAnswerTimeout, nil if
// there is none.
func (r *pendingHeartbeats) oldestPending() *pendingHeartbeat {
	return oldest(&r.pending, func(report *pendingHeartbeat) bool { return !report.answered && !report.idle })
}

// oldestIdle returns the oldest report that waits for idleHeartbeatAnswerTimeout, nil
// if there is none.
func (r *pendingHeartbeats) oldestIdle() *pendingHeartbeat {
	return oldest(&r.idle, func(report *pendingHeartbeat) bool { return !report.answered })
}

// oldest returns the first report of a queue that still belongs there, and
// drops those before it.
func oldest(queue *[]*pendingHeartbeat, belongs func(*pendingHeartbeat) bool) *pendingHeartbeat {
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

// appendPending appends the machines of all reports that wait for heartbeatAnswerTimeout.
func (r *pendingHeartbeats) appendPending(machines []int) []int {
	for _, report := range r.pending {
		if !report.answered && !report.idle {
			machines = append(machines, report.machine)
		}
	}
	return machines
}

// answerHeartbeats answers the reports whose consequences are stored: what
// completed can then be dropped by its worker, and what takes its place
// started, with the same answer.
func (c *Controller) answerHeartbeats(now event.Time, out *event.Effects) {
	waiting := &c.pending
	recheck := append(waiting.recheck, c.jobs.TakeChangedMachines()...)
	waiting.recheck = nil
	if len(waiting.byMachine) == 0 {
		return
	}
	if !c.leadership.active || !c.election.IsLeader(now) {
		// No term, or only its grace: nothing can be stored, so nothing is waited for.
		c.answerAll(now, out)
		return
	}
	roundOver := waiting.roundPending && !c.jobs.RoundRequested()
	waiting.roundPending = c.jobs.RoundRequested()
	if roundOver {
		recheck = waiting.appendPending(recheck)
	}
	for _, machine := range recheck {
		if report := waiting.byMachine[machine]; report != nil {
			c.reviewHeartbeat(report, now, out)
		}
	}
	c.answerOverdue(now, out)
}

// answerAll answers every report that waits.
func (c *Controller) answerAll(now event.Time, out *event.Effects) {
	for _, queue := range [][]*pendingHeartbeat{c.pending.pending, c.pending.idle} {
		for _, report := range queue {
			if !report.answered {
				c.answerHeartbeat(report, now, out)
			}
		}
	}
	c.pending.pending = nil
	c.pending.idle = nil
}

// answerOverdue answers the reports whose time has come, and the oldest of idle
// machines beyond the sockets that these may take.
func (c *Controller) answerOverdue(now event.Time, out *event.Effects) {
	waiting := &c.pending
	for {
		report := waiting.oldestPending()
		if report == nil || now-report.since < heartbeatAnswerTimeout {
			break
		}
		c.reviewHeartbeat(report, now, out)
	}
	idleLimit := c.cfg.Settings.Resources.MaxConnections / idleSocketDivisor
	for {
		report := waiting.oldestIdle()
		if report == nil || (now-report.since < idleHeartbeatAnswerTimeout && waiting.idleCount <= idleLimit) {
			break
		}
		c.answerHeartbeat(report, now, out)
	}
}

// reviewHeartbeat answers a report unless its answer may soon say more.
func (c *Controller) reviewHeartbeat(report *pendingHeartbeat, now event.Time, out *event.Effects) {
	waited := now - report.since
	if !report.idle && waited < heartbeatAnswerTimeout && c.jobs.RoundRequested() {
		return // the next round may place something on the machine
	}
	if waited < idleHeartbeatAnswerTimeout && c.workers.Idle(report.heartbeat) {
		c.pending.noteIdle(report)
		return
	}
	if waited < heartbeatAnswerTimeout && !c.workers.AllStored(report.machine) {
		return // changes of the machine's entries are not stored yet
	}
	c.answerHeartbeat(report, now, out)
}

// answerHeartbeat answers a report with the orders for its machine, or refuses it
// if we may not answer as leader any more.
func (c *Controller) answerHeartbeat(report *pendingHeartbeat, now event.Time, out *event.Effects) {
	c.pending.noteAnswered(report)
	if !c.mayAnswerHeartbeats(now) || c.autoscaler.Released(report.heartbeat.Machine) {
		c.respond(report.from, httpwire.StatusServiceUnavailable, nil, out)
		return
	}
	orders := c.workers.Commands(report.heartbeat, now, c.election)
	if orders == nil {
		orders = []worker.Command{} // the protocol has a list, never null
	}
	body, _ := json.Marshal(heartbeatResponse{FencingToken: c.election.FencingToken(), Commands: orders})
	c.respond(report.from, httpwire.StatusOK, body, out)
}

// heartbeatResponse is the body of the answer to a report.
type heartbeatResponse struct {
	FencingToken uint64           `json:"fence"`
	Commands     []worker.Command `json:"orders"`
}
