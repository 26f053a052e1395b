package scheduler

import (
	"cmp"
	"slices"

	"lugward/internal/event"
	"lugward/internal/pipeline"
	"lugward/internal/worker"
)

// minConsolidationGainSeconds is the least time for which a machine must be expected to
// stay busy without consolidation. Below it, moving the machine's tasks costs more than
// it saves.
const minConsolidationGainSeconds = 25.0

// consolidation is the state of one consolidation pass.
type consolidation struct {
	*Scheduler
	now     event.Time
	targets []*Capacity // free capacity of the machines that may receive tasks, preferred first
	// receivesTasks contains the machines to which the tasks of a drained machine are
	// planned to move. They are not drained in the same pass.
	receivesTasks map[*worker.Machine]bool
}

// Consolidate finds machines whose tasks all fit on other busy machines. It evicts those
// tasks with a grace period for a checkpoint and marks the machines as draining, so that
// they are released once empty. It returns the drained machines. lastRound is the result
// of the last round.
func (s *Scheduler) Consolidate(now event.Time, lastRound RoundResult, budget Budget) (drained []*worker.Machine) {
	c := consolidation{
		Scheduler:     s,
		now:           now,
		targets:       consolidationTargets(lastRound.Capacities),
		receivesTasks: map[*worker.Machine]bool{},
	}
	blocked := append(slices.Clone(lastRound.Blocked), c.reserveForEvicted()...)
	for i, source := range c.sources(lastRound.Capacities, blocked) {
		if i > 0 && budget.exhausted() {
			break
		}
		if c.receivesTasks[source.Machine] || !c.planMoves(source) {
			continue
		}
		s.drain(source.Machine)
		drained = append(drained, source.Machine)
	}
	return drained
}

// compareForDraining orders machines by descending hourly price, then by descending share
// of free CPUs.
func compareForDraining(a, b *Capacity) int {
	freeA := a.FreeCPUs / a.MachineType.CPUs
	freeB := b.FreeCPUs / b.MachineType.CPUs
	return cmp.Or(cmp.Compare(b.hourlyPrice(), a.hourlyPrice()), cmp.Compare(freeB, freeA))
}

// consolidationTargets returns copies of the capacities of the machines that may receive
// tasks, in the reverse order of draining: cheapest and fullest first.
func consolidationTargets(capacities []*Capacity) []*Capacity {
	var targets []*Capacity
	for _, capacity := range capacities {
		if capacity.InUse && capacity.Machine != nil && !capacity.Machine.Draining() {
			target := *capacity
			targets = append(targets, &target)
		}
	}
	slices.SortStableFunc(targets, func(a, b *Capacity) int { return compareForDraining(b, a) })
	return targets
}

// sources lists the machines that may be drained, in the order of draining. It omits
// machines of a type on which a blocked job could run.
func (c *consolidation) sources(capacities []*Capacity, blocked []*pipeline.Job) []*Capacity {
	needed := map[*MachineType]bool{}
	for _, capacity := range capacities {
		matches := func(job *pipeline.Job) bool { return capacity.Matches(&job.Spec) }
		if !needed[capacity.MachineType] && slices.ContainsFunc(blocked, matches) {
			needed[capacity.MachineType] = true
		}
	}
	sources := slices.DeleteFunc(slices.Clone(capacities), func(capacity *Capacity) bool {
		return needed[capacity.MachineType] || !c.mayDrain(capacity)
	})
	slices.SortStableFunc(sources, compareForDraining)
	return sources
}

// reserveForEvicted allocates capacity on the targets for the tasks that are being evicted
// to run elsewhere. Such a task is placed again only once it has terminated. Without the
// allocation, every pass until then would count the same free capacity again and drain
// machines whose tasks fit nowhere. It returns the jobs of the tasks that do not fit.
func (c *consolidation) reserveForEvicted() (blocked []*pipeline.Job) {
	var cursor targetCursor
	for machine := range c.workers.All() {
		for task := range c.jobs.AssignmentsOn(machine.Index) {
			if !task.Evicting() || task.Job.TerminalPhase != pipeline.Queued {
				continue
			}
			i := cursor.next(c.targets, task.Job, func(target *Capacity) bool {
				return target.FittingTasks(&task.Job.Spec) > 0 && target.accepts(task.Job, c.jobs.Now())
			})
			if i < 0 {
				blocked = append(blocked, task.Job)
				continue
			}
			c.targets[i].Allocate(&task.Job.Spec, 1)
		}
	}
	return blocked
}

// drain evicts the tasks of a machine and marks it as draining, so that it gets no new
// tasks.
func (s *Scheduler) drain(machine *worker.Machine) {
	for task := range s.jobs.AssignmentsOn(machine.Index) {
		s.workers.Evict(task, worker.GracePeriod(task.Job))
	}
	machine.StartDraining()
}

// mayDrain reports whether a busy machine is not draining yet, all of its tasks can move,
// and the longest of them is expected to run for more than minConsolidationGainSeconds.
func (c *consolidation) mayDrain(capacity *Capacity) bool {
	if !capacity.InUse || capacity.Machine == nil || capacity.Machine.Draining() {
		return false
	}
	longest := 0.0
	for task := range c.jobs.AssignmentsOn(capacity.Machine.Index) {
		if !isMovable(task, c.now) {
			return false
		}
		longest = max(longest, c.remainingRuntime(task, c.now))
	}
	return longest > minConsolidationGainSeconds
}

// isMovable reports whether a running task can save a checkpoint and resume on another
// machine without loss, after its start has counted for the user.
func isMovable(task *pipeline.Assignment, now event.Time) bool {
	job := task.Job
	running := task.Phase() == pipeline.TaskRunning && !task.Evicting()
	if !running || !task.FullyPersisted() {
		return false
	}
	if job.CheckpointInterval == 0 || job.IsGang() {
		return false
	}
	return now-task.StartedAt() >= minCountedRuntime
}

// move is the planned move of one task of a job to a target.
type move struct {
	target *Capacity
	job    *pipeline.Job
}

// targetCursor searches targets for the tasks of one job after the other. The tasks of a job
// are alike and targets only become fuller, so the search for a further task continues where
// that for the last one ended.
type targetCursor struct {
	job   *pipeline.Job
	index int
}

// next returns the index of the first target that fits a task of a job, or -1 if there is none.
func (c *targetCursor) next(targets []*Capacity, job *pipeline.Job, fits func(*Capacity) bool) int {
	if c.job != job {
		*c = targetCursor{job: job}
	}
	for ; c.index < len(targets); c.index++ {
		if fits(targets[c.index]) {
			return c.index
		}
	}
	return -1
}

// planMoves finds a target for each task of a machine, largest task first, and reports
// whether all tasks have one. If so, their capacity stays allocated on the targets.
func (c *consolidation) planMoves(source *Capacity) bool {
	tasks := slices.Collect(c.jobs.AssignmentsOn(source.Machine.Index))
	slices.SortFunc(tasks, func(a, b *pipeline.Assignment) int {
		return cmp.Or(cmp.Compare(b.Job.CPUs, a.Job.CPUs), compareAssignments(a, b))
	})
	moves := make([]move, 0, len(tasks))
	var cursor targetCursor
	for _, task := range tasks {
		i := cursor.next(c.targets, task.Job, func(target *Capacity) bool {
			return c.canMoveTo(task.Job, source, target)
		})
		if i < 0 {
			undoMoves(moves)
			return false
		}
		c.targets[i].Allocate(&task.Job.Spec, 1)
		moves = append(moves, move{c.targets[i], task.Job})
	}
	for _, move := range moves {
		c.receivesTasks[move.target.Machine] = true
	}
	return true
}

// undoMoves releases the capacity that moves have allocated.
func undoMoves(moves []move) {
	for _, move := range moves {
		move.target.release(&move.job.Spec)
	}
}

// canMoveTo reports whether a task of a job can move from source to target. A job with a
// spread or zone affinity constraint stays in its zone.
func (c *consolidation) canMoveTo(job *pipeline.Job, source, target *Capacity) bool {
	if target.Machine == source.Machine || target.Machine.Draining() {
		return false
	}
	if target.FittingTasks(&job.Spec) == 0 || !target.accepts(job, c.jobs.Now()) {
		return false
	}
	boundToZone := job.SpreadZones || (job.SameZone && job.TaskCount > 1)
	return !boundToZone || target.Zone == source.Zone
}
