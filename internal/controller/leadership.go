package controller

import (
	"time"

	"lugward/internal/election"
	"lugward/internal/event"
	"lugward/internal/scheduler"
)

// noWorkerHeartbeatTimeout is how long a leader continues to lead without receiving any
// worker heartbeat. After that it resigns, because another controller may be able to
// reach the workers.
const noWorkerHeartbeatTimeout = 12 * time.Second

// leadership is the state that a controller keeps as leader. It is active from beginTerm
// until endTerm. These may run later than the beginning and the end of the term in the
// state service.
type leadership struct {
	active              bool
	lastWorkerHeartbeat event.Time // arrival of the last heartbeat of any worker; initially the beginning of the term
	// resignedWithoutHeartbeats means that this controller resigned its last term
	// because no worker heartbeat arrived, and that none has arrived since.
	resignedWithoutHeartbeats bool
	schedule                  leaderSchedule
	budget                    roundBudget
	roundCount                int                   // scheduling rounds since the process started
	lastRound                 scheduler.RoundResult // last round of this term, empty before the first
}

func newLeadership(budget roundBudget) leadership {
	return leadership{schedule: newLeaderSchedule(), budget: budget}
}

// taskExpiry computes when the tasks on unresponsive machines have terminated.
type taskExpiry interface {
	// TasksExpireAt returns the latest time at which the tasks on a machine terminate,
	// given the time of the last response to one of its heartbeats.
	TasksExpireAt(lastResponse event.Time) event.Time
}

// begin resets the state for a new term.
func (l *leadership) begin(now event.Time) {
	l.active = true
	l.lastRound = scheduler.RoundResult{}
	l.lastWorkerHeartbeat = now
}

// end drops the state of the term that has ended.
func (l *leadership) end() {
	l.active = false
	l.lastRound = scheduler.RoundResult{}
}

// recordWorkerHeartbeat records the arrival of a worker's heartbeat.
func (l *leadership) recordWorkerHeartbeat(now event.Time) {
	l.lastWorkerHeartbeat = now
	l.resignedWithoutHeartbeats = false
}

// heartbeatDeadline returns the time at which the leader resigns unless a worker's
// heartbeat arrives. A leader that resigned its last term because no heartbeats arrived,
// and has received none since, keeps its next term until the leases of unresponsive
// workers have expired. All workers may be gone, and further resignations would postpone
// indefinitely the time at which their tasks are known to have terminated.
func (l *leadership) heartbeatDeadline(expiry taskExpiry) event.Time {
	if l.resignedWithoutHeartbeats {
		return expiry.TasksExpireAt(l.lastWorkerHeartbeat) + noWorkerHeartbeatTimeout
	}
	return l.lastWorkerHeartbeat + noWorkerHeartbeatTimeout
}

// mayActAsLeader reports whether this controller is leader and may start tasks.
func (c *Controller) mayActAsLeader(now event.Time) bool {
	return c.leadership.active && c.election.IsLeader(now)
}

// mayAnswerWorkers reports whether this controller may handle and answer the heartbeats
// of workers as leader. It may also do so in the grace period after the lease of its
// term.
func (c *Controller) mayAnswerWorkers(now event.Time) bool {
	return c.leadership.active && c.election.MayRenewWorkerLeases(now)
}

// updateLeadership handles the beginning and the end of a term. It resigns the term if
// no heartbeats of workers have arrived by the deadline although some are expected.
func (c *Controller) updateLeadership(now event.Time, out *event.Effects) {
	if c.election.ConsumeTermStart() {
		c.beginTerm(now)
	}
	if c.leadership.active && !c.election.HoldsTerm() {
		c.endTerm(now)
	}
	if c.leadership.active && now >= c.leadership.heartbeatDeadline(c.election) && c.expectsWorkerHeartbeats() {
		c.leadership.resignedWithoutHeartbeats = true
		c.election.Resign(now, election.ReasonNoHeartbeats, out)
		c.updateLeadership(now, out)
	}
}

// beginTerm initializes the components for a new term of this controller.
func (c *Controller) beginTerm(now event.Time) {
	c.leadership.begin(now)
	c.jobs.Reset()
	c.workers.Reset()
	c.autoscaler.BeginTerm(now, c.election.FencingToken())
	c.updateRateShare(now)
}

// endTerm drops the state that only a leader keeps.
func (c *Controller) endTerm(now event.Time) {
	c.leadership.end()
	c.jobs.Reset()
	c.workers.Reset()
	c.autoscaler.Reset()
	c.updateRateShare(now)
}

// expectsWorkerHeartbeats reports whether any worker should be sending heartbeats: a
// machine is running but unregistered, is in use or has sent a heartbeat before.
func (c *Controller) expectsWorkerHeartbeats() bool {
	if c.autoscaler.HasUnregisteredMachines() {
		return true
	}
	for range c.jobs.MachinesInUse() {
		return true
	}
	for machine := range c.workers.All() {
		if machine.LastHeartbeat() > 0 {
			return true
		}
	}
	return false
}
