package controller

import (
	"time"

	"lugward/internal/config"
	"lugward/internal/event"
	"lugward/internal/pipeline"
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
	placement                placement
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

// placement is the result of the last scheduling round of this term.
type placement struct {
	blocked    []*pipeline.Job       // jobs that did not fit
	capacities []*scheduler.Capacity // of the machines; nil before the first round
}

// updateLeadership takes up a term that has begun and lays down one that has
// ended. A leader that gets no reports resigns.
func (n *Controller) updateLeadership(now event.Time, out *event.Effects) {
	if n.election.TakeAcquired() {
		n.beginTerm(now)
	}
	if n.leadership.active && !n.election.HoldsTerm() {
		n.endTerm(now)
	}
	if n.leadership.active && now >= n.heartbeatDeadline() && n.expectsHeartbeats() {
		n.leadership.resignedWithoutHeartbeat = true
		n.election.Resign(now, out, "no worker reports")
		n.updateLeadership(now, out)
	}
}

func (n *Controller) beginTerm(now event.Time) {
	n.leadership.active = true
	n.resetTermState()
	n.autoscaler.BeginTerm(now, n.election.FencingToken())
	n.leadership.lastHeartbeat = now
	n.shareRates(now)
}

func (n *Controller) endTerm(now event.Time) {
	n.leadership.active = false
	n.resetTermState()
	n.autoscaler.Reset()
	n.shareRates(now)
}

// resetTermState drops what is known or planned in one term only.
func (n *Controller) resetTermState() {
	n.jobs.Reset()
	n.workers.Reset()
	n.leadership.placement = placement{}
}

// heartbeatDeadline is until when a leader waits for a worker's report. A leader
// that resigned for want of reports and has had none since keeps its next term
// until the leases of silent workers have expired: the workers may all be gone,
// and further resignations would put off the proof that their tasks have
// terminated for ever.
func (n *Controller) heartbeatDeadline() event.Time {
	if n.leadership.resignedWithoutHeartbeat {
		return n.election.TasksExpireAt(n.leadership.lastHeartbeat) + noHeartbeatTimeout
	}
	return n.leadership.lastHeartbeat + noHeartbeatTimeout
}

// expectsHeartbeats tells whether there are workers that should report.
func (n *Controller) expectsHeartbeats() bool {
	expected := n.autoscaler.HasUnregisteredMachines()
	n.jobs.MachinesInUse(func(int) { expected = true })
	for _, machine := range n.workers.Machines {
		expected = expected || (machine != nil && machine.LastHeartbeat > 0)
	}
	return expected
}

// actAsLeader does what is due of the leader's work. The caller checks that
// the election allows tasks to be started.
func (n *Controller) actAsLeader(now event.Time, out *event.Effects) {
	schedule := &n.leadership.schedule
	if now-schedule.workersAt >= workersInterval {
		schedule.workersAt = now
		n.workers.Tick(now, n.election, out)
		n.evictBeforeReclaim(now)
	}
	n.autoscaler.Tick(now, n.election, n.election.Fence(), n.workerHeartbeatTimeout(), out)
	if n.autoscaler.Replan {
		n.jobs.RequestRound()
	}
	if n.roundDue(now) {
		n.runRound(now, out)
	}
	if now-schedule.consolidateAt >= consolidationInterval && n.leadership.placement.capacities != nil {
		schedule.consolidateAt = now
		n.consolidate(now)
	}
	n.logLoad(now)
	n.jobs.Flush(now, n.election.Fence(), n.store)
	n.jobs.FlushRetries(now, n.election.Fence(), n.store)
	if now-schedule.garbageCollectAt >= garbageCollectionInterval {
		schedule.garbageCollectAt = now
		n.collectGarbage(now)
	}
}

// roundDue tells whether it is time for a scheduling round: soon after a
// change, rarely without one.
func (n *Controller) roundDue(now event.Time) bool {
	elapsed := now - n.leadership.schedule.roundAt
	if n.jobs.RoundRequested() && elapsed >= time.Duration(n.cfg.Operator.Scheduler.Round) {
		return true
	}
	return elapsed >= idleRoundInterval
}

// runRound decides what runs where and, when that is due, what to provision
// for the jobs that did not fit.
func (n *Controller) runRound(now event.Time, out *event.Effects) {
	schedule := &n.leadership.schedule
	schedule.roundAt = now
	n.jobs.ClearRoundRequest()
	n.startBudget()
	n.work.Rounds++
	blocked, capacities := n.scheduler.Round(now)
	n.leadership.placement = placement{blocked: blocked, capacities: capacities}
	if now-schedule.planAt >= planInterval || n.autoscaler.Replan {
		schedule.planAt = now
		n.autoscaler.Replan = false
		n.autoscaler.Plan(now, blocked, n.scheduler, n.election.FencingToken(), out)
	}
}

// consolidate moves tasks off machines that can be released then.
func (n *Controller) consolidate(now event.Time) {
	n.startBudget()
	last := &n.leadership.placement
	for _, machine := range n.scheduler.Consolidate(now, last.capacities, last.blocked) {
		n.log.Info("draining machine", "machine", machine.Name)
	}
}

// collectGarbage deletes or rewrites a few records that are no longer needed as
// they are.
func (n *Controller) collectGarbage(now event.Time) {
	term := n.election.Fence()
	n.jobs.CollectGarbage(now, term, n.store, garbageCollectedJobs)
	n.jobs.ExpandRecords(garbageCollectedJobs)
	n.jobs.DeleteStaleUpstreamPages(now, term, n.store)
}

// startBudget starts the time that the scheduler has for one round.
func (n *Controller) startBudget() {
	if n.clock == nil {
		return
	}
	begin := n.clock()
	budget := time.Duration(n.cfg.Operator.Scheduler.Budget)
	n.scheduler.OverBudget = func() bool { return n.clock()-begin > budget }
}

// evictBeforeReclaim stops tasks that save checkpoints on machines that the
// cloud is about to reclaim, while there is still time for the last save.
func (n *Controller) evictBeforeReclaim(now event.Time) {
	for _, machine := range n.workers.Machines {
		if machine == nil || machine.ReclaimAt == 0 {
			continue
		}
		for _, entry := range n.jobs.OnMachine(machine.Index) {
			job := entry.Job
			needed := config.Seconds(job.CheckpointDuration) + evictionMargin
			if job.CheckpointInterval > 0 && machine.ReclaimAt-now < needed {
				n.workers.Evict(entry, worker.GracePeriod(job))
			}
		}
	}
}
