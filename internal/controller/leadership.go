package controller

import (
	"time"

	"lugward/internal/election"
	"lugward/internal/event"
	"lugward/internal/scheduler"
)

// noWorkerHeartbeatTimeout: a leader that gets no worker's heartbeat for this long
// resigns, as another controller may be able to reach the workers.
const noWorkerHeartbeatTimeout = 12 * time.Second

// leadership is what a controller keeps as leader. It is active from the moment that
// our term is taken up here until its end is noticed here.
type leadership struct {
	active              bool
	lastWorkerHeartbeat event.Time // when a worker's heartbeat last came
	// resignedWithoutHeartbeats: we resigned our last term because no worker's
	// heartbeat came, and no worker has sent us one since.
	resignedWithoutHeartbeats bool
	schedule                  leaderSchedule
	budget                    roundBudget
	rounds                    int                   // scheduling rounds since the process began
	lastRound                 scheduler.RoundResult // of this term, empty before its first round
}

func newLeadership(budget roundBudget) leadership {
	return leadership{schedule: newLeaderSchedule(), budget: budget}
}

// taskExpiry tells when the tasks of machines that do not answer have terminated.
type taskExpiry interface {
	// TasksExpireAt is when the tasks of a machine have terminated at the latest,
	// given when a heartbeat of it was last answered.
	TasksExpireAt(lastAnswer event.Time) event.Time
}

// begin takes up a term.
func (l *leadership) begin(now event.Time) {
	l.active = true
	l.lastRound = scheduler.RoundResult{}
	l.lastWorkerHeartbeat = now
}

// end lays down a term.
func (l *leadership) end() {
	l.active = false
	l.lastRound = scheduler.RoundResult{}
}

// observeWorker notes that a worker's heartbeat has come.
func (l *leadership) observeWorker(now event.Time) {
	l.lastWorkerHeartbeat = now
	l.resignedWithoutHeartbeats = false
}

// heartbeatDeadline is until when a leader waits for a worker's heartbeat. A leader
// that resigned for want of heartbeats and has had none since keeps its next term
// until the leases of unresponsive workers have expired: the workers may all be gone,
// and further resignations would put off the proof that their tasks have terminated
// for ever.
func (l *leadership) heartbeatDeadline(expiry taskExpiry) event.Time {
	if l.resignedWithoutHeartbeats {
		return expiry.TasksExpireAt(l.lastWorkerHeartbeat) + noWorkerHeartbeatTimeout
	}
	return l.lastWorkerHeartbeat + noWorkerHeartbeatTimeout
}

// mayAct reports whether we lead and tasks may be started.
func (c *Controller) mayAct(now event.Time) bool {
	return c.leadership.active && c.election.IsLeader(now)
}

// mayAnswerWorkers reports whether we may accept and answer the heartbeats of workers
// as leader: also in the grace after the lease of our term.
func (c *Controller) mayAnswerWorkers(now event.Time) bool {
	return c.leadership.active && c.election.MayRenewWorkerLeases(now)
}

// updateLeadership takes up a term that has begun and lays down one that has ended. A
// leader that gets no heartbeats of workers resigns.
func (c *Controller) updateLeadership(now event.Time, out *event.Effects) {
	if c.election.TakeTermStart() {
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

// beginTerm starts to lead.
func (c *Controller) beginTerm(now event.Time) {
	c.leadership.begin(now)
	c.jobs.Reset()
	c.workers.Reset()
	c.autoscaler.BeginTerm(now, c.election.FencingToken())
	c.shareRates(now)
}

// endTerm drops what is known or planned as leader only.
func (c *Controller) endTerm(now event.Time) {
	c.leadership.end()
	c.jobs.Reset()
	c.workers.Reset()
	c.autoscaler.Reset()
	c.shareRates(now)
}

// expectsWorkerHeartbeats reports whether there are workers that should send heartbeats.
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
