package worker

import (
	"time"

	"lugward/internal/event"
	"lugward/internal/pipeline"
)

const (
	// maxMissedStarts is the number of consecutive heartbeats without a commanded task
	// after which its start command is considered lost. It is also the number of
	// heartbeats without the fencing token of this term that are tolerated, because the
	// token may not have arrived either.
	maxMissedStarts = 3
	// unreachableMargin is added to the lease of an unreachable machine to allow for
	// clock drift and delays.
	unreachableMargin = 3 * time.Second
)

// checkReachable determines whether the responses of this controller reach a machine. The
// arrival of its heartbeats does not prove this. A machine becomes schedulable once a
// heartbeat carries the fencing token of this term, which also distinguishes the heartbeat
// from a copy sent in an earlier term. It is no longer schedulable once it does not carry
// out its commands.
func (r *Registry) checkReachable(machine *Machine, heartbeat *Heartbeat, now event.Time, leadership Leadership) {
	switch {
	case !machine.tokenConfirmed:
		r.checkToken(machine, heartbeat, now, leadership)
	case machine.unreachableSince != 0:
		r.checkReachableAgain(machine, now, leadership)
	default:
		r.checkStarts(machine, heartbeat, now)
	}
}

// checkToken checks whether a machine has received the fencing token of this term.
func (r *Registry) checkToken(machine *Machine, heartbeat *Heartbeat, now event.Time, leadership Leadership) {
	switch {
	case heartbeat.FencingToken == leadership.FencingToken():
		machine.tokenConfirmed = true
		machine.unreachableSince = 0
		r.jobs.RequestRound()
	case machine.unreachableSince != 0 || machine.lastResponse == 0:
	case machine.unconfirmedHeartbeats < maxMissedStarts:
		// The first response may have been sent to a copy of a heartbeat while the
		// previous leader was still answering the machine.
		machine.unconfirmedHeartbeats++
	case now-machine.firstHeartbeat > r.heartbeatTimeout:
		r.recordUnreachable(machine, now)
	}
}

// checkReachableAgain checks whether an unreachable machine is reachable again. This is
// the case if its worker still has the same incarnation after the lease of that incarnation
// should have expired, because only a response can have renewed the lease.
func (r *Registry) checkReachableAgain(machine *Machine, now event.Time, leadership Leadership) {
	outlived := now-machine.unreachableSince > leadership.MaxWorkerLease()+unreachableMargin
	if machine.incarnation != machine.unreachableIncarnation || !outlived {
		r.evictUnstarted(machine)
		return
	}
	r.log.Info("machine reachable again: its worker lease was renewed", "machine", machine.Name)
	machine.unreachableSince = 0
	r.jobs.RequestRound()
}

// checkStarts checks whether the heartbeats of a machine list the tasks that it was
// commanded to start.
func (r *Registry) checkStarts(machine *Machine, heartbeat *Heartbeat, now event.Time) {
	var listed map[string]bool
	for assignment := range r.jobs.AssignmentsOn(machine.Index) {
		if !assignment.AwaitsStart(heartbeat.Sequence) {
			continue
		}
		if listed == nil {
			listed = heartbeat.listedTasks()
		}
		if listed[taskName(assignment)] {
			assignment.ClearMissedHeartbeats()
			continue
		}
		if assignment.RecordMissedHeartbeat() >= maxMissedStarts {
			r.recordUnreachable(machine, now)
			return
		}
	}
}

// recordUnreachable records that responses do not reach a machine. Tasks that it has not
// started are evicted, which takes effect once a heartbeat proves that they will not start.
// Running tasks are not evicted: they may complete before the lease expires, and the machine
// may be reachable after all.
func (r *Registry) recordUnreachable(machine *Machine, now event.Time) {
	r.log.Info("machine unreachable: its heartbeats show that responses do not arrive",
		"machine", machine.Name,
		"tasks", r.jobs.AssignmentCount(machine.Index))
	machine.unreachableSince = now
	machine.unreachableIncarnation = machine.incarnation
	r.evictUnstarted(machine)
}

// evictUnstarted evicts the assigned tasks that no heartbeat of a machine has listed.
func (r *Registry) evictUnstarted(machine *Machine) {
	for _, assignment := range r.sortedAssignments(machine) {
		if assignment.Phase() == pipeline.TaskUnseen {
			r.Evict(assignment, GracePeriod(assignment.Job))
		}
	}
}

// UnreachableBeyondLease reports whether a machine has been unreachable for so long that
// its lease has expired and its tasks have terminated.
func (r *Registry) UnreachableBeyondLease(machine *Machine, now event.Time, leadership Leadership) bool {
	if machine.unreachableSince == 0 {
		return false
	}
	return now-machine.unreachableSince > leadership.MaxWorkerLease()+2*unreachableMargin
}
