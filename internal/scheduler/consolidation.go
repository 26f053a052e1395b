package scheduler

import (
	"cmp"
	"slices"

	"lugward/internal/event"
	"lugward/internal/pipeline"
	"lugward/internal/worker"
)

// minConsolidationGain is the least time, in seconds, for which a machine would stay
// busy without consolidation: below it, moving its tasks costs more than it saves.
const minConsolidationGain = 25.0

// consolidation is the state of one pass of consolidation.
type consolidation struct {
	*Scheduler
	now     event.Time
	targets []*Capacity // what is free on the machines that may take tasks, the first choice first
	// receiving are the machines to which tasks of a drained one are to move: they
	// are not drained in the same pass.
	receiving map[*worker.Machine]bool
}

// Consolidate finds machines whose tasks all fit on other busy ones, evicts those
// tasks with time to save a checkpoint, and marks the machines as draining so that
// they are released once empty. last is the result of the last round. It returns the
// machines.
func (s *Scheduler) Consolidate(now event.Time, last RoundResult, budget Budget) (drained []*worker.Machine) {
	c := consolidation{
		Scheduler: s,
		now:       now,
		targets:   consolidationTargets(last.Capacities),
		receiving: map[*worker.Machine]bool{},
	}
	blocked := append(slices.Clone(last.Blocked), c.reserveForEvicted()...)
	for i, source := range c.sources(last.Capacities, blocked) {
		if i > 0 && budget.exhausted() {
			break
		}
		if c.receiving[source.Machine] || !c.planMoves(source) {
			continue
		}
		s.drain(source.Machine)
		drained = append(drained, source.Machine)
	}
	return drained
}

// compareForDraining puts the most expensive machines first, of equal ones the
// emptiest.
func compareForDraining(a, b *Capacity) int {
	freeA := a.FreeCPUs / a.MachineType.CPUs
	freeB := b.FreeCPUs / b.MachineType.CPUs
	return cmp.Or(cmp.Compare(b.price(), a.price()), cmp.Compare(freeB, freeA))
}

// consolidationTargets lists copies of what is free on the machines that may take
// tasks of others, in the reverse order of draining: the cheapest and fullest first.
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

// sources lists the machines that may be drained, in the order of draining: none of a
// type on which a blocked job could run.
func (c *consolidation) sources(capacities []*Capacity, blocked []*pipeline.Job) []*Capacity {
	wanted := map[*MachineType]bool{}
	for _, capacity := range capacities {
		matches := func(job *pipeline.Job) bool { return capacity.Matches(&job.Spec) }
		if !wanted[capacity.MachineType] && slices.ContainsFunc(blocked, matches) {
			wanted[capacity.MachineType] = true
		}
	}
	sources := slices.DeleteFunc(slices.Clone(capacities), func(capacity *Capacity) bool {
		return wanted[capacity.MachineType] || !c.mayDrain(capacity)
	})
	slices.SortStableFunc(sources, compareForDraining)
	return sources
}

// reserveForEvicted allocates what the tasks need that are being evicted to run
// elsewhere: they are placed again only once they have terminated, and until then
// every pass would count the same free capacity anew and drain machines whose tasks
// fit nowhere. It returns the jobs of those that find no capacity.
func (c *consolidation) reserveForEvicted() (blocked []*pipeline.Job) {
	for machine := range c.workers.All() {
		for _, task := range c.jobs.OnMachine(machine.Index) {
			if !task.Evicting() || task.Job.TerminalPhase != pipeline.Queued {
				continue
			}
			i := slices.IndexFunc(c.targets, func(target *Capacity) bool {
				return target.Fits(&task.Job.Spec) > 0 && target.accepts(task.Job, c.jobs.Now())
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

// drain evicts the tasks of a machine and keeps new ones off it.
func (s *Scheduler) drain(machine *worker.Machine) {
	for _, task := range s.jobs.OnMachine(machine.Index) {
		s.workers.Evict(task, worker.GracePeriod(task.Job))
	}
	machine.StartDraining()
}

// mayDrain reports whether every task of a machine can save its work and move, and
// whether that is worth it.
func (c *consolidation) mayDrain(capacity *Capacity) bool {
	if !capacity.InUse || capacity.Machine == nil || capacity.Machine.Draining() {
		return false
	}
	longest := 0.0
	for _, task := range c.jobs.OnMachine(capacity.Machine.Index) {
		if !canMove(task, c.now) {
			return false
		}
		longest = max(longest, c.remainingRuntime(task, c.now))
	}
	return longest > minConsolidationGain
}

// canMove reports whether a running task can save a checkpoint and go on elsewhere
// without loss.
func canMove(task *pipeline.Assignment, now event.Time) bool {
	job := task.Job
	running := task.Phase() == pipeline.TaskRunning && !task.Evicting()
	if !running || !task.Stored() {
		return false
	}
	if job.CheckpointInterval == 0 || job.IsGang() {
		return false
	}
	return now-task.StartedAt() >= startCountsAfter
}

// move is a task that is to move to a target.
type move struct {
	target *Capacity
	job    *pipeline.Job
}

// planMoves finds a target for each task of a machine, the largest first, and reports
// whether all have one. If so, what they need there stays allocated.
func (c *consolidation) planMoves(source *Capacity) bool {
	tasks := slices.Clone(c.jobs.OnMachine(source.Machine.Index))
	slices.SortFunc(tasks, func(a, b *pipeline.Assignment) int {
		return cmp.Or(cmp.Compare(b.Job.CPUs, a.Job.CPUs), compareAssignments(a, b))
	})
	moves := make([]move, 0, len(tasks))
	for _, task := range tasks {
		i := slices.IndexFunc(c.targets, func(target *Capacity) bool {
			return c.mayMove(task.Job, source, target)
		})
		if i < 0 {
			undo(moves)
			return false
		}
		c.targets[i].Allocate(&task.Job.Spec, 1)
		moves = append(moves, move{c.targets[i], task.Job})
	}
	for _, move := range moves {
		c.receiving[move.target.Machine] = true
	}
	return true
}

// undo gives back what moves have allocated.
func undo(moves []move) {
	for _, move := range moves {
		move.target.release(&move.job.Spec)
	}
}

// mayMove reports whether a task of a job can move from one machine to another.
func (c *consolidation) mayMove(job *pipeline.Job, source, target *Capacity) bool {
	if target.Machine == source.Machine || target.Machine.Draining() {
		return false
	}
	if target.Fits(&job.Spec) == 0 || !target.accepts(job, c.jobs.Now()) {
		return false
	}
	boundToZone := job.SpreadZones || (job.SameZone && job.TaskCount > 1)
	return !boundToZone || target.Zone == source.Zone
}
