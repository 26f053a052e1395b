package controller

import (
	"time"

	"lugward/internal/config"
	"lugward/internal/event"
	"lugward/internal/scheduler"
	"lugward/internal/worker"
)

// Intervals of the leader's periodic work.
const (
	workersInterval           = 50 * time.Millisecond
	provisioningInterval      = time.Second
	consolidationInterval     = 2 * time.Second
	garbageCollectionInterval = time.Second
	loadLogInterval           = 10 * time.Second
	// idleRoundInterval is the time between two rounds while nothing changes:
	// waiting times grow, and so do the rights that depend on them.
	idleRoundInterval = 2 * time.Second
)

const (
	// garbageCollectedJobs bounds the jobs whose records one garbage collection
	// touches, so that it leaves the write rate to users and placements.
	garbageCollectedJobs = 8
	// evictionMargin is the time for a command to stop to reach its worker and for
	// the answer to come back.
	evictionMargin = 4 * time.Second
)

// leaderSchedule holds when each part of the leader's periodic work was last done. It
// lasts from one term to the next.
type leaderSchedule struct {
	workers           periodic
	provisioning      periodic
	consolidation     periodic
	garbageCollection periodic
	loadLog           periodic
	roundAt           event.Time // of the last scheduling round
}

// periodic is work that is done at an interval.
type periodic struct {
	interval time.Duration
	lastRun  event.Time
}

func newLeaderSchedule() leaderSchedule {
	return leaderSchedule{
		workers:           periodic{interval: workersInterval},
		provisioning:      periodic{interval: provisioningInterval},
		consolidation:     periodic{interval: consolidationInterval},
		garbageCollection: periodic{interval: garbageCollectionInterval},
		loadLog:           periodic{interval: loadLogInterval},
	}
}

// isDue reports whether the work is due.
func (p *periodic) isDue(now event.Time) bool { return now-p.lastRun >= p.interval }

// takeDue reports whether the work is due, and notes it as done now if so.
func (p *periodic) takeDue(now event.Time) bool {
	if !p.isDue(now) {
		return false
	}
	p.lastRun = now
	return true
}

// actAsLeader does what is due of the leader's work and sends what it has queued. It
// does nothing and returns false if we may not act as leader.
func (c *Controller) actAsLeader(now event.Time, out *event.Effects) bool {
	if !c.mayAct(now) {
		return false
	}
	c.directWorkers(now, out)
	c.scaleMachines(now, out)
	if c.isRoundDue(now) {
		c.runRound(now, out)
	}
	c.consolidate(now)
	c.logLoad(now)
	c.jobs.Flush(now, c.election.TermCompare(), c.store)
	c.jobs.FlushRetries(now, c.election.TermCompare(), c.store)
	c.collectGarbage(now)
	c.store.Tick(now, out)
	return true
}

// directWorkers stops tasks and finds those that have terminated.
func (c *Controller) directWorkers(now event.Time, out *event.Effects) {
	if !c.leadership.schedule.workers.takeDue(now) {
		return
	}
	c.workers.Tick(now, c.election, out)
	c.evictBeforeReclaim(now)
}

// evictBeforeReclaim evicts tasks that save checkpoints from machines that the cloud
// is about to reclaim, while there is still time for the last save.
func (c *Controller) evictBeforeReclaim(now event.Time) {
	for machine := range c.workers.All() {
		if machine.ReclaimAt() == 0 {
			continue
		}
		for _, assignment := range c.jobs.OnMachine(machine.Index) {
			job := assignment.Job
			needed := config.Seconds(job.CheckpointDuration) + evictionMargin
			if job.CheckpointInterval > 0 && machine.ReclaimAt()-now < needed {
				c.workers.Evict(assignment, worker.GracePeriod(job))
			}
		}
	}
}

// scaleMachines releases machines and finds those that are lost.
func (c *Controller) scaleMachines(now event.Time, out *event.Effects) {
	c.autoscaler.Tick(now, c.election, c.election.TermCompare(), out)
	if c.autoscaler.ReplanRequested() {
		c.jobs.RequestRound()
	}
}

// isRoundDue reports whether it is time for a scheduling round: soon after a change,
// rarely without one.
func (c *Controller) isRoundDue(now event.Time) bool {
	elapsed := now - c.leadership.schedule.roundAt
	if c.jobs.RoundRequested() && elapsed >= time.Duration(c.cfg.Operator.Scheduler.Round) {
		return true
	}
	return elapsed >= idleRoundInterval
}

// runRound decides what runs where and, when that is due, what to provision for the
// jobs that did not fit.
func (c *Controller) runRound(now event.Time, out *event.Effects) {
	schedule := &c.leadership.schedule
	schedule.roundAt = now
	c.jobs.ClearRoundRequest()
	c.leadership.rounds++
	result := c.scheduler.Round(now, c.leadership.budget.start())
	c.leadership.lastRound = result
	if replan := c.autoscaler.TakeReplanRequest(); replan || schedule.provisioning.isDue(now) {
		schedule.provisioning.lastRun = now
		c.autoscaler.Plan(now, result.Blocked, c.scheduler, c.election.FencingToken(), out)
	}
}

// roundBudget is the processor time that the scheduler has for one round.
type roundBudget struct {
	clock func() time.Duration // nil: rounds are not bounded
	limit time.Duration
}

// start starts the time of a round.
func (b *roundBudget) start() scheduler.Budget {
	if b.clock == nil {
		return nil
	}
	begin := b.clock()
	return func() bool { return b.clock()-begin > b.limit }
}

// consolidate moves tasks off machines that can be released then.
func (c *Controller) consolidate(now event.Time) {
	lastRound := c.leadership.lastRound
	if lastRound.Capacities == nil || !c.leadership.schedule.consolidation.takeDue(now) {
		return
	}
	for _, machine := range c.scheduler.Consolidate(now, lastRound, c.leadership.budget.start()) {
		c.log.Info("draining machine for consolidation", "machine", machine.Name)
	}
}

// collectGarbage deletes or rewrites a few records that are no longer needed as they
// are.
func (c *Controller) collectGarbage(now event.Time) {
	if !c.leadership.schedule.garbageCollection.takeDue(now) {
		return
	}
	term := c.election.TermCompare()
	c.jobs.CollectGarbage(now, term, c.store, garbageCollectedJobs)
	c.jobs.ExpandRecords(garbageCollectedJobs)
	c.jobs.DeleteStaleUpstreamPages(now, term, c.store)
}
