package worker

import (
	"time"

	"lugward/internal/event"
	"lugward/internal/pipeline"
)

const (
	// A start that so many heartbeats in a row do not show did not arrive. A fencing
	// token that so many do not carry may not have arrived either.
	maxMissedStarts = 3
	// unreachableMargin is added to the lease of an unreachable machine, for clock
	// drift and delays.
	unreachableMargin = 3 * time.Second
)

// checkReachable finds out whether our responses reach a machine; that its heartbeats
// reach us does not show it. A machine is used once a heartbeat carries our fencing
// token, which also tells a heartbeat of this term from a copy of an older one, and no
// more once it does not carry out its commands.
func (r *Registry) checkReachable(machine *Machine, heartbeat *Heartbeat, now event.Time, leadership Leadership) {
	switch {
	case !machine.tokenConfirmed:
		r.checkToken(machine, heartbeat, now, leadership)
	case machine.unreachableSince != 0:
		r.checkReconnected(machine, now, leadership)
	default:
		r.checkStarts(machine, heartbeat, now)
	}
}

// checkToken looks whether a machine has taken up our fencing token.
func (r *Registry) checkToken(machine *Machine, heartbeat *Heartbeat, now event.Time, leadership Leadership) {
	switch {
	case heartbeat.FencingToken == leadership.FencingToken():
		machine.tokenConfirmed = true
		machine.unreachableSince = 0
		r.jobs.RequestRound()
	case machine.unreachableSince != 0 || machine.lastResponse == 0:
	case machine.unconfirmedHeartbeats < maxMissedStarts:
		// Our first response may have gone to a copy, while the machine itself was
		// still served by the leader before us.
		machine.unconfirmedHeartbeats++
	case now-machine.firstHeartbeat > r.heartbeatTimeout:
		r.recordUnreachable(machine, now)
	}
}

// checkReconnected looks whether the incarnation of an unreachable machine has outlived
// its lease: a response has renewed it.
func (r *Registry) checkReconnected(machine *Machine, now event.Time, leadership Leadership) {
	outlived := now-machine.unreachableSince > leadership.MaxWorkerLease()+unreachableMargin
	if machine.incarnation != machine.unreachableIncarnation || !outlived {
		r.evictUnstarted(machine)
		return
	}
	r.log.Info("machine reachable again", "machine", machine.Name)
	machine.unreachableSince = 0
	r.jobs.RequestRound()
}

// checkStarts looks whether the tasks that a machine was commanded to start show up in
// its heartbeats.
func (r *Registry) checkStarts(machine *Machine, heartbeat *Heartbeat, now event.Time) {
	for _, assignment := range r.jobs.OnMachine(machine.Index) {
		if !assignment.AwaitsStart(heartbeat.Sequence) {
			continue
		}
		if heartbeat.lists(taskName(assignment)) {
			assignment.ClearMissedHeartbeats()
			continue
		}
		if assignment.RecordMissedHeartbeat() >= maxMissedStarts {
			r.recordUnreachable(machine, now)
			return
		}
	}
}

// recordUnreachable records that our responses do not reach a machine: what it never
// started is evicted, once a heartbeat proves that it will not start. What runs goes on:
// it may complete before its lease expires, and we may be wrong.
func (r *Registry) recordUnreachable(machine *Machine, now event.Time) {
	r.log.Info("machine unreachable: heartbeat responses do not arrive",
		"machine", machine.Name,
		"tasks", len(r.jobs.OnMachine(machine.Index)))
	machine.unreachableSince = now
	machine.unreachableIncarnation = machine.incarnation
	r.evictUnstarted(machine)
}

// evictUnstarted evicts the tasks that a machine has not started.
func (r *Registry) evictUnstarted(machine *Machine) {
	for _, assignment := range r.sortedAssignments(machine) {
		if assignment.Phase() == pipeline.TaskUnseen {
			r.Evict(assignment, GracePeriod(assignment.Job))
		}
	}
}

// UnreachableBeyondLease reports whether a machine has been unreachable for so long
// that its tasks have terminated with its lease.
func (r *Registry) UnreachableBeyondLease(machine *Machine, now event.Time, leadership Leadership) bool {
	if machine.unreachableSince == 0 {
		return false
	}
	return now-machine.unreachableSince > leadership.MaxWorkerLease()+2*unreachableMargin
}
