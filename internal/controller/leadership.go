package controller

import (
	"time"

	"lugward/internal/config"
	"lugward/internal/election"
	"lugward/internal/event"
	"lugward/internal/scheduler"
	"lugward/internal/worker"
)

// Intervals of the leader's periodic work.
const (
	workersInterval           = 50 * time.Millisecond
	planInterval              = time.Second
	consolidationInterval     = 2 * time.Second
	garbageCollectionInterval = time.Second
	// idleRoundInterval is the time between two rounds while nothing changes:
	// waiting times grow, and so do the rights that depend on them.
	idleRoundInterval = 2 * time.Second
)

const (
	// garbageCollectedJobs bounds the jobs whose records one cleaning pass touches, so
	// that cleaning leaves the write rate to users and placements.
	garbageCollectedJobs = 8
	// noHeartbeatTimeout: a leader that gets no worker's report for this long
	// resigns, as another controller may be able to reach the workers.
	noHeartbeatTimeout = 12 * time.Second
	// evictionMargin is the time for an order to stop to reach its worker and
	// for the answer to come back.
	evictionMargin = 4 * time.Second
)

// leadership is what a controller keeps as leader. It is active from the
// moment that our term is taken up here until its end is noticed here.
type leadership struct {
	active        bool
	lastHeartbeat event.Time // when a worker's report last came
	// resignedWithoutHeartbeat: we resigned our last term because no report came, and
	// no worker has reported to us since.
	resignedWithoutHeartbeat bool
	schedule                 leaderSchedule
	lastRound                scheduler.RoundResult // of this term, empty before its first round
}

// leaderSchedule holds when each part of the leader's periodic work was last
// done. It lasts from one term to the next.
type leaderSchedule struct {
	workersAt        event.Time
	roundAt          event.Time
	planAt           event.Time
	consolidateAt    event.Time
	garbageCollectAt event.Time
	loadAt           event.Time
}

// updateLeadership takes up a term that has begun and lays down one that has
// ended. A leader that gets no reports resigns.
func (c *Controller) updateLeadership(now event.Time, out *event.Effects) {
	if c.election.TakeTermStart() {
		c.beginTerm(now)
	}
	if c.leadership.active && !c.election.HoldsTerm() {
		c.endTerm(now)
	}
	if c.leadership.active && now >= c.heartbeatDeadline() && c.expectsHeartbeats() {
		c.leadership.resignedWithoutHeartbeat = true
		c.election.Resign(now, election.ReasonNoHeartbeats, out)
		c.updateLeadership(now, out)
	}
}

func (c *Controller) beginTerm(now event.Time) {
	c.leadership.active = true
	c.resetTermState()
	c.autoscaler.BeginTerm(now, c.election.FencingToken())
	c.leadership.lastHeartbeat = now
	c.shareRates(now)
}

func (c *Controller) endTerm(now event.Time) {
	c.leadership.active = false
	c.resetTermState()
	c.autoscaler.Reset()
	c.shareRates(now)
}

// resetTermState drops what is known or planned in one term only.
func (c *Controller) resetTermState() {
	c.jobs.Reset()
	c.workers.Reset()
	c.leadership.lastRound = scheduler.RoundResult{}
}

// heartbeatDeadline is until when a leader waits for a worker's report. A leader
// that resigned for want of reports and has had none since keeps its next term
// until the leases of silent workers have expired: the workers may all be gone,
// and further resignations would put off the proof that their tasks have
// terminated for ever.
func (c *Controller) heartbeatDeadline() event.Time {
	if c.leadership.resignedWithoutHeartbeat {
		return c.election.TasksExpireAt(c.leadership.lastHeartbeat) + noHeartbeatTimeout
	}
	return c.leadership.lastHeartbeat + noHeartbeatTimeout
}

// expectsHeartbeats tells whether there are workers that should report.
func (c *Controller) expectsHeartbeats() bool {
	expected := c.autoscaler.HasUnregisteredMachines()
	c.jobs.MachinesInUse(func(int) { expected = true })
	for machine := range c.workers.All() {
		expected = expected || machine.LastHeartbeat() > 0
	}
	return expected
}

// actAsLeader does what is due of the leader's work. The caller checks that
// the election allows tasks to be started.
func (c *Controller) actAsLeader(now event.Time, out *event.Effects) {
	schedule := &c.leadership.schedule
	if now-schedule.workersAt >= workersInterval {
		schedule.workersAt = now
		c.workers.Tick(now, c.election, out)
		c.evictBeforeReclaim(now)
	}
	c.autoscaler.Tick(now, c.election, c.election.TermCompare(), out)
	if c.autoscaler.ReplanRequested() {
		c.jobs.RequestRound()
	}
	if c.roundDue(now) {
		c.runRound(now, out)
	}
	if now-schedule.consolidateAt >= consolidationInterval && c.leadership.lastRound.Capacities != nil {
		schedule.consolidateAt = now
		c.consolidate(now)
	}
	c.logLoad(now)
	c.jobs.Flush(now, c.election.TermCompare(), c.store)
	c.jobs.FlushRetries(now, c.election.TermCompare(), c.store)
	if now-schedule.garbageCollectAt >= garbageCollectionInterval {
		schedule.garbageCollectAt = now
		c.collectGarbage(now)
	}
}

// roundDue tells whether it is time for a scheduling round: soon after a
// change, rarely without one.
func (c *Controller) roundDue(now event.Time) bool {
	elapsed := now - c.leadership.schedule.roundAt
	if c.jobs.RoundRequested() && elapsed >= time.Duration(c.cfg.Operator.Scheduler.Round) {
		return true
	}
	return elapsed >= idleRoundInterval
}

// runRound decides what runs where and, when that is due, what to provision
// for the jobs that did not fit.
func (c *Controller) runRound(now event.Time, out *event.Effects) {
	schedule := &c.leadership.schedule
	schedule.roundAt = now
	c.jobs.ClearRoundRequest()
	budget := c.newBudget()
	c.work.Rounds++
	result := c.scheduler.Round(now, budget)
	c.leadership.lastRound = result
	if replan := c.autoscaler.TakeReplanRequest(); replan || now-schedule.planAt >= planInterval {
		schedule.planAt = now
		c.autoscaler.Plan(now, result.Blocked, c.scheduler, c.election.FencingToken(), out)
	}
}

// consolidate moves tasks off machines that can be released then.
func (c *Controller) consolidate(now event.Time) {
	for _, machine := range c.scheduler.Consolidate(now, c.leadership.lastRound, c.newBudget()) {
		c.log.Info("draining machine", "machine", machine.Name)
	}
}

// collectGarbage deletes or rewrites a few records that are no longer needed as
// they are.
func (c *Controller) collectGarbage(now event.Time) {
	term := c.election.TermCompare()
	c.jobs.CollectGarbage(now, term, c.store, garbageCollectedJobs)
	c.jobs.ExpandRecords(garbageCollectedJobs)
	c.jobs.DeleteStaleUpstreamPages(now, term, c.store)
}

// newBudget starts the processor time that the scheduler has for one round. It is
// unlimited without a clock.
func (c *Controller) newBudget() scheduler.Budget {
	if c.clock == nil {
		return nil
	}
	begin := c.clock()
	limit := time.Duration(c.cfg.Operator.Scheduler.Budget)
	return func() bool { return c.clock()-begin > limit }
}

// evictBeforeReclaim stops tasks that save checkpoints on machines that the
// cloud is about to reclaim, while there is still time for the last save.
func (c *Controller) evictBeforeReclaim(now event.Time) {
	for machine := range c.workers.All() {
		if machine.ReclaimAt() == 0 {
			continue
		}
		for _, entry := range c.jobs.OnMachine(machine.Index) {
			job := entry.Job
			needed := config.Seconds(job.CheckpointDuration) + evictionMargin
			if job.CheckpointInterval > 0 && machine.ReclaimAt()-now < needed {
				c.workers.Evict(entry, worker.GracePeriod(job))
			}
		}
	}
}
