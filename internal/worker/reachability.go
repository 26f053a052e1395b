package worker

import (
	"slices"
	"time"

	"lugward/internal/event"
	"lugward/internal/pipeline"
)

const (
	// A start that so many reports in a row do not show did not arrive. A fencing
	// token that so many do not carry may not have arrived either.
	maxMissedStarts = 3
	// unreachableMargin is added to the lease of an unreachable machine, for clock
	// drift and delays.
	unreachableMargin = 3 * time.Second
)

// checkReachable finds out whether our answers reach a machine; that its reports
// reach us does not show it. A machine is used once a report carries our fencing
// token, which also tells a report of this term from a copy of an older one, and no
// more once it does not do what it was ordered.
func (r *Registry) checkReachable(machine *Machine, report *Heartbeat, now event.Time, term Leadership) {
	switch {
	case !machine.tokenConfirmed:
		r.checkToken(machine, report, now, term)
	case machine.unreachableSince != 0:
		r.checkReconnected(machine, now, term)
	default:
		r.checkStarts(machine, report, now)
	}
}

// checkToken looks whether a machine has taken up our fencing token.
func (r *Registry) checkToken(machine *Machine, report *Heartbeat, now event.Time, term Leadership) {
	switch {
	case report.FencingToken == term.FencingToken():
		machine.tokenConfirmed = true
		machine.unreachableSince = 0
		r.jobs.RequestRound()
	case machine.unreachableSince != 0 || machine.lastAnswer == 0:
	case machine.unconfirmedHeartbeats < maxMissedStarts:
		// What we answered first may have been a copy, while the machine itself
		// was still answered by the leader before us.
		machine.unconfirmedHeartbeats++
	case now-machine.firstHeartbeat > r.heartbeatTimeout:
		r.markUnreachable(machine, now)
	}
}

// checkReconnected looks whether the session of an unreachable machine has outlived
// its lease: an answer has renewed it.
func (r *Registry) checkReconnected(machine *Machine, now event.Time, term Leadership) {
	outlived := now-machine.unreachableSince > term.MaxWorkerLease()+unreachableMargin
	if machine.incarnation != machine.unreachableIncarnation || !outlived {
		r.evictUnstarted(machine)
		return
	}
	r.log.Info("machine is reachable again", "machine", machine.Name)
	machine.unreachableSince = 0
	r.jobs.RequestRound()
}

// checkStarts looks whether the tasks that a machine was ordered to start show up in
// its reports.
func (r *Registry) checkStarts(machine *Machine, report *Heartbeat, now event.Time) {
	for _, entry := range r.jobs.OnMachine(machine.Index) {
		ordered := entry.OrderedSequence != 0 && entry.OrderedSequence < report.Sequence
		if !ordered || entry.Phase != pipeline.TaskUnseen {
			continue
		}
		if report.lists(taskName(entry)) {
			entry.MissedHeartbeats = 0
			continue
		}
		entry.MissedHeartbeats++
		if entry.MissedHeartbeats >= maxMissedStarts {
			r.markUnreachable(machine, now)
			return
		}
	}
}

// lists tells whether a report shows a task.
func (r *Heartbeat) lists(name string) bool {
	return slices.ContainsFunc(r.Tasks, func(task TaskStatus) bool { return task.Task == name })
}

// markUnreachable notes that our answers do not reach a machine: what it never
// started is moved, once a report proves that it will not start. What runs goes on:
// it may complete before its lease ends, and we may be wrong.
func (r *Registry) markUnreachable(machine *Machine, now event.Time) {
	r.log.Info("machine is unreachable: it does not receive our answers", "machine", machine.Name, "tasks", len(r.jobs.OnMachine(machine.Index)))
	machine.unreachableSince = now
	machine.unreachableIncarnation = machine.incarnation
	r.evictUnstarted(machine)
}

// evictUnstarted moves the tasks that a machine has not started.
func (r *Registry) evictUnstarted(machine *Machine) {
	for _, entry := range r.sortedAssignments(machine) {
		if entry.Phase == pipeline.TaskUnseen {
			r.Evict(entry, GracePeriod(entry.Job))
		}
	}
}

// UnreachableBeyondLease tells whether a machine has been unreachable for so long
// that its tasks have ended with its lease.
func (r *Registry) UnreachableBeyondLease(machine *Machine, now event.Time, term Leadership) bool {
	if machine.unreachableSince == 0 {
		return false
	}
	return now-machine.unreachableSince > term.MaxWorkerLease()+2*unreachableMargin
}
