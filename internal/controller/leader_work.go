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
	statsLogInterval          = 10 * time.Second
	// idleRoundInterval is the time between two scheduling rounds while nothing
	// changes. Rounds are still needed then, because the precedence of jobs depends on
	// their waiting time.
	idleRoundInterval = 2 * time.Second
)

const (
	// garbageCollectionJobLimit is the maximum number of jobs whose records one garbage
	// collection deletes or rewrites. It leaves most of the write rate to user requests
	// and placements.
	garbageCollectionJobLimit = 8
	// evictionMargin is the time that an evict command needs to reach its worker and
	// the response to return.
	evictionMargin = 4 * time.Second
)

// leaderSchedule records when each part of the leader's periodic work last ran. It is
// not reset when a term ends.
type leaderSchedule struct {
	workers           periodic
	provisioning      periodic
	consolidation     periodic
	garbageCollection periodic
	statsLog          periodic
	lastRoundAt       event.Time // start of the last scheduling round
}

// periodic tracks work that runs at a fixed interval.
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
		statsLog:          periodic{interval: statsLogInterval},
	}
}

// isDue reports whether the interval has passed since the last run.
func (p *periodic) isDue(now event.Time) bool { return now-p.lastRun >= p.interval }

// startIfDue reports whether the work is due. If so, it records now as the time of the
// last run.
func (p *periodic) startIfDue(now event.Time) bool {
	if !p.isDue(now) {
		return false
	}
	p.lastRun = now
	return true
}

// runLeaderWork runs the leader's work that is due and sends the queued requests to the
// state service. It does nothing and returns false if this controller may not act as
// leader.
func (c *Controller) runLeaderWork(now event.Time, out *event.Effects) bool {
	if !c.mayActAsLeader(now) {
		return false
	}
	c.tickWorkers(now, out)
	c.tickAutoscaler(now, out)
	if c.isRoundDue(now) {
		c.runRound(now, out)
	}
	c.consolidate(now)
	c.logStats(now)
	c.jobs.Flush(now, c.election.TermCompare(), c.store)
	c.jobs.FlushRetries(now, c.election.TermCompare(), c.store)
	c.collectGarbage(now)
	c.store.Tick(now, out)
	return true
}

// tickWorkers sends terminations to workers, detects tasks that have terminated and
// evicts tasks from machines that are about to be reclaimed.
func (c *Controller) tickWorkers(now event.Time, out *event.Effects) {
	if !c.leadership.schedule.workers.startIfDue(now) {
		return
	}
	c.workers.Tick(now, c.election, out)
	c.evictBeforeReclaim(now)
}

// evictBeforeReclaim evicts tasks that save checkpoints from machines that the cloud
// is about to reclaim, while there is still time to save a last checkpoint.
func (c *Controller) evictBeforeReclaim(now event.Time) {
	for machine := range c.workers.All() {
		if machine.ReclaimAt() == 0 {
			continue
		}
		for assignment := range c.jobs.AssignmentsOn(machine.Index) {
			job := assignment.Job
			needed := config.Seconds(job.CheckpointDuration) + evictionMargin
			if job.CheckpointInterval > 0 && machine.ReclaimAt()-now < needed {
				c.workers.Evict(assignment, worker.GracePeriod(job))
			}
		}
	}
}

// tickAutoscaler releases machines and detects lost ones. It requests a scheduling
// round if the autoscaler needs a new provisioning plan, because the plan is made after
// a round.
func (c *Controller) tickAutoscaler(now event.Time, out *event.Effects) {
	c.autoscaler.Tick(now, c.election, c.election.TermCompare(), out)
	if c.autoscaler.ReplanRequested() {
		c.jobs.RequestRound()
	}
}

// isRoundDue reports whether a scheduling round is due. The interval between rounds is
// short if a round was requested because of a change, and idleRoundInterval otherwise.
func (c *Controller) isRoundDue(now event.Time) bool {
	elapsed := now - c.leadership.schedule.lastRoundAt
	if c.jobs.RoundRequested() && elapsed >= time.Duration(c.cfg.Operator.Scheduler.RoundInterval) {
		return true
	}
	return elapsed >= idleRoundInterval
}

// runRound runs a scheduling round. If provisioning is due or a new plan was requested,
// it then provisions machines for the jobs that could not be placed.
func (c *Controller) runRound(now event.Time, out *event.Effects) {
	schedule := &c.leadership.schedule
	schedule.lastRoundAt = now
	c.jobs.ClearRoundRequest()
	c.leadership.roundCount++
	result := c.scheduler.Round(now, c.leadership.budget.start())
	c.leadership.lastRound = result
	if replan := c.autoscaler.ConsumeReplanRequest(); replan || schedule.provisioning.isDue(now) {
		schedule.provisioning.lastRun = now
		c.autoscaler.Plan(now, result.Blocked, c.scheduler, c.election.FencingToken(), out)
	}
}

// roundBudget limits the time that the scheduler spends on one round.
type roundBudget struct {
	clock func() time.Duration // rounds are not limited if nil
	limit time.Duration
}

// start returns a budget whose time begins now. It returns nil, which means no limit, if
// there is no clock.
func (b *roundBudget) start() scheduler.Budget {
	if b.clock == nil {
		return nil
	}
	begin := b.clock()
	return func() bool { return b.clock()-begin > b.limit }
}

// consolidate evicts the tasks of machines whose tasks all fit on other machines in use,
// so that the emptied machines can be released.
func (c *Controller) consolidate(now event.Time) {
	lastRound := c.leadership.lastRound
	if lastRound.Capacities == nil || !c.leadership.schedule.consolidation.startIfDue(now) {
		return
	}
	for _, machine := range c.scheduler.Consolidate(now, lastRound, c.leadership.budget.start()) {
		c.log.Info("draining machine for consolidation", "machine", machine.Name)
	}
}

// collectGarbage deletes records that are no longer needed and rewrites compact records
// in the plain format, a limited number at a time.
func (c *Controller) collectGarbage(now event.Time) {
	if !c.leadership.schedule.garbageCollection.startIfDue(now) {
		return
	}
	term := c.election.TermCompare()
	c.jobs.CollectGarbage(now, term, c.store, garbageCollectionJobLimit)
	c.jobs.ExpandRecords(garbageCollectionJobLimit)
	c.jobs.DeleteStaleUpstreamPages(now, term, c.store)
}
