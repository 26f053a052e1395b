package core

import (
	"time"

	"lugward/internal/config"
	"lugward/internal/event"
)

const (
	planInterval    = time.Second
	roundIdle       = 2 * time.Second // a round without a change, for what time brings
	workersInterval = 50 * time.Millisecond
	packInterval    = 2 * time.Second
	cleanInterval   = time.Second
	cleanJobs       = 2
	// A leader that hears no worker for this long gives the term up.
	noReportsTimeout = 12 * time.Second
)

// updateLeadership notices the begin and the end of our term.
func (n *Node) updateLeadership(now event.Time, out *event.Effects) {
	if n.election.Acquired() {
		n.leading = true
		n.jobs.Reset()
		n.workers.Reset()
		n.autoscaler.Begin(now, n.election.FencingToken())
		n.blocked, n.capacities = nil, nil
		n.lastReportAt = now
		n.share(now)
	}
	if n.leading && !n.election.Holds() {
		n.leading = false
		n.jobs.Reset()
		n.workers.Reset()
		n.autoscaler.Forget()
		n.blocked, n.capacities = nil, nil
		n.share(now)
	}
	if n.leading && now >= n.reportDeadline() && n.expectsReports() {
		// Whoever can reach the workers shall have the term.
		n.yielded = true
		n.election.Resign(now, out, "no worker is heard")
		n.updateLeadership(now, out)
	}
}

// reportDeadline is until when a leader waits for a worker's report. If it gave a
// term up for that before and no worker has come to it since, none may be left,
// and terms given up one after the other would keep the proof that the tasks of
// silent machines have terminated from ever being reached: it stays until then.
func (n *Node) reportDeadline() event.Time {
	if n.yielded {
		return n.election.TasksExpireAt(n.lastReportAt) + noReportsTimeout
	}
	return n.lastReportAt + noReportsTimeout
}

// expectsReports tells whether there are workers that ought to report.
func (n *Node) expectsReports() bool {
	used := n.autoscaler.HasSilentMachines()
	n.jobs.MachinesInUse(func(int) { used = true })
	for _, h := range n.workers.Machines {
		used = used || (h != nil && h.LastReport > 0)
	}
	return used
}

// actAsLeader is the leader's work.
func (n *Node) actAsLeader(now event.Time, out *event.Effects) {
	if now-n.workersAt >= workersInterval {
		n.workersAt = now
		n.workers.Tick(now, n.election, out)
		n.drain(now)
	}
	n.autoscaler.Tick(now, n.election, n.election.Condition(), n.silent(), out)
	since := now - n.roundAt
	n.jobs.Changed = n.jobs.Changed || n.autoscaler.Replan
	if (n.jobs.Changed && since >= time.Duration(n.cfg.Operator.Scheduler.Round)) || since >= roundIdle {
		n.roundAt, n.jobs.Changed = now, false
		n.startBudget()
		n.work.Rounds++
		n.blocked, n.capacities = n.scheduler.Round(now)
		if now-n.planAt >= planInterval || n.autoscaler.Replan {
			n.planAt, n.autoscaler.Replan = now, false
			n.autoscaler.Plan(now, n.blocked, n.scheduler, n.election.FencingToken(), out)
		}
	}
	if now-n.packAt >= packInterval && n.capacities != nil {
		n.packAt = now
		n.startBudget()
		for _, h := range n.scheduler.Pack(now, n.capacities, n.blocked) {
			n.log.Info("draining machine", "machine", h.Name)
		}
	}
	n.logLoad(now)
	n.jobs.Flush(now, n.election.Condition(), n.store)
	if now-n.cleanAt >= cleanInterval {
		n.cleanAt = now
		n.jobs.Clean(now, n.election.Condition(), n.store, cleanJobs)
		n.jobs.ExpandRecords(cleanJobs)
		n.jobs.DeleteStaleParts(now, n.election.Condition(), n.store)
	}
}

// startBudget gives the scheduler the time of one round.
func (n *Node) startBudget() {
	if n.clock != nil {
		begin, budget := n.clock(), time.Duration(n.cfg.Operator.Scheduler.Budget)
		n.scheduler.OverBudget = func() bool { return n.clock()-begin > budget }
	}
}

// drain moves work off machines that the cloud is about to take.
func (n *Node) drain(now event.Time) {
	const margin = 4 * time.Second // for the stop to arrive and be answered
	for _, h := range n.workers.Machines {
		if h == nil || h.ReclaimAt == 0 {
			continue
		}
		for _, e := range n.jobs.OnMachine(h.Index) {
			if e.Job.CheckpointInterval > 0 && h.ReclaimAt-now < config.Seconds(e.Job.CheckpointDuration)+margin {
				n.workers.Evict(e, e.Job.CheckpointDuration+1)
			}
		}
	}
}
