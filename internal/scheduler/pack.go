package scheduler

import (
	"cmp"
	"slices"
	"time"

	"lugward/internal/event"
	"lugward/internal/pipeline"
	"lugward/internal/worker"
)

const (
	// A start that a stop follows sooner does not count for its user.
	startCountsAfter = 30 * time.Second
	// Moving pays if the machine would else stay busy this much longer, in seconds.
	minMoveGain = 25.0
)

// Consolidate finds machines whose tasks all fit on other busy ones, stops those with time
// to save, and marks the machines as draining so that they are released once empty.
// last is the result of the last round. The budget bounds the work.
func (s *Scheduler) Consolidate(now event.Time, last RoundResult, budget Budget) (drained []*worker.Machine) {
	receivers := listReceivers(last.Capacities)
	blocked := append(slices.Clone(last.Blocked), s.reserveForMoving(receivers)...)
	donors := s.drainable(now, last.Capacities, blocked)
	// The dearest are drained first, then the emptiest; the others are filled from
	// the other end.
	slices.SortStableFunc(donors, compareForDraining)
	receives := map[*worker.Machine]bool{}
	for i, donor := range donors {
		if i > 0 && budget.exhausted() {
			break
		}
		if receives[donor.Machine] || !s.fitsElsewhere(donor, receivers, receives) {
			continue
		}
		s.drain(donor.Machine)
		drained = append(drained, donor.Machine)
	}
	return drained
}

// listReceivers lists copies of what is left of the machines that may take tasks of
// others, the cheapest and fullest first.
func listReceivers(capacities []*Capacity) []*Capacity {
	var receivers []*Capacity
	for _, capacity := range capacities {
		if capacity.InUse && capacity.Machine != nil && !capacity.Machine.Draining() {
			receiver := *capacity
			receivers = append(receivers, &receiver)
		}
	}
	slices.SortStableFunc(receivers, func(a, b *Capacity) int { return compareForDraining(b, a) })
	return receivers
}

// reserveForMoving allocates what the tasks need that are being stopped to run
// elsewhere: they are placed again only once they have terminated, and until then
// every pass would count the same free capacity anew and drain machines whose tasks
// fit nowhere. It returns the jobs of those that find no capacity.
func (s *Scheduler) reserveForMoving(receivers []*Capacity) (blocked []*pipeline.Job) {
	for machine := range s.workers.All() {
		for _, entry := range s.jobs.OnMachine(machine.Index) {
			if !entry.Evicting || entry.Job.TerminalPhase != pipeline.Queued {
				continue
			}
			i := slices.IndexFunc(receivers, func(receiver *Capacity) bool {
				return receiver.Fits(&entry.Job.Spec) > 0 && receiver.accepts(entry.Job, s.jobs.Now())
			})
			if i < 0 {
				blocked = append(blocked, entry.Job)
				continue
			}
			receivers[i].Allocate(&entry.Job.Spec, 1)
		}
	}
	return blocked
}

// drain moves the tasks of a machine and keeps new ones off it.
func (s *Scheduler) drain(machine *worker.Machine) {
	for _, entry := range s.jobs.OnMachine(machine.Index) {
		s.workers.Evict(entry, worker.GracePeriod(entry.Job))
	}
	machine.StartDraining()
}

// compareForDraining puts the dearest machines first, of equal ones the emptiest.
func compareForDraining(a, b *Capacity) int {
	free := a.FreeCPUs / a.MachineType.CPUs
	otherFree := b.FreeCPUs / b.MachineType.CPUs
	return cmp.Or(cmp.Compare(b.price(), a.price()), cmp.Compare(otherFree, free))
}

// drainable lists the machines that may be drained: none of a type on which a job
// waits for capacity.
func (s *Scheduler) drainable(now event.Time, capacities []*Capacity, blocked []*pipeline.Job) []*Capacity {
	wanted := map[*MachineType]bool{}
	for _, capacity := range capacities {
		matches := func(job *pipeline.Job) bool { return capacity.Matches(&job.Spec) }
		if !wanted[capacity.MachineType] && slices.ContainsFunc(blocked, matches) {
			wanted[capacity.MachineType] = true
		}
	}
	return slices.DeleteFunc(slices.Clone(capacities), func(capacity *Capacity) bool {
		return wanted[capacity.MachineType] || !s.mayDrain(capacity, now)
	})
}

// mayDrain tells whether every task of a machine can be saved and moved, and
// whether that is worth it.
func (s *Scheduler) mayDrain(capacity *Capacity, now event.Time) bool {
	if !capacity.InUse || capacity.Machine == nil || capacity.Machine.Draining() {
		return false
	}
	longest := 0.0
	for _, entry := range s.jobs.OnMachine(capacity.Machine.Index) {
		if !canMove(entry, now) {
			return false
		}
		longest = max(longest, s.RemainingRuntime(entry, now))
	}
	return longest > minMoveGain
}

// canMove tells whether a running task can save a checkpoint and go on elsewhere
// without loss.
func canMove(entry *pipeline.Assignment, now event.Time) bool {
	job := entry.Job
	running := entry.Phase == pipeline.TaskRunning && !entry.Evicting
	if !running || !entry.Stored() {
		return false
	}
	if job.CheckpointInterval == 0 || job.IsGang() {
		return false
	}
	return now-entry.StartedAt >= startCountsAfter
}

// fitsElsewhere tells whether the tasks of a machine fit on others. If all do, what
// they use there stays allocated.
func (s *Scheduler) fitsElsewhere(donor *Capacity, receivers []*Capacity, receives map[*worker.Machine]bool) bool {
	entries := slices.Clone(s.jobs.OnMachine(donor.Machine.Index))
	slices.SortFunc(entries, func(a, b *pipeline.Assignment) int {
		return cmp.Or(cmp.Compare(b.Job.CPUs, a.Job.CPUs), compareAssignments(a, b))
	})
	type move struct {
		to  *Capacity
		job *pipeline.Job
	}
	var moves []move
	for _, entry := range entries {
		i := slices.IndexFunc(receivers, func(receiver *Capacity) bool {
			return s.mayReceive(receiver, entry.Job, donor)
		})
		if i < 0 {
			for _, move := range moves {
				move.to.release(&move.job.Spec)
			}
			return false
		}
		receivers[i].Allocate(&entry.Job.Spec, 1)
		moves = append(moves, move{receivers[i], entry.Job})
	}
	for _, move := range moves {
		receives[move.to.Machine] = true
	}
	return true
}

// mayReceive tells whether a machine can take a task from another.
func (s *Scheduler) mayReceive(receiver *Capacity, job *pipeline.Job, donor *Capacity) bool {
	if receiver.Machine == donor.Machine || receiver.Machine.Draining() {
		return false
	}
	if receiver.Fits(&job.Spec) == 0 || !receiver.accepts(job, s.jobs.Now()) {
		return false
	}
	boundToZone := job.SpreadZones || (job.SameZone && job.TaskCount > 1)
	return !boundToZone || receiver.Zone == donor.Zone
}
