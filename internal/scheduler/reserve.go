package scheduler

import (
	"cmp"
	"math"
	"slices"

	"lugward/internal/event"
	"lugward/internal/pipeline"
)

// maxReservations bounds the reservations of one round: what is further back in
// the order waits for later ones. A gang begun within the bound is reserved for
// as a whole.
const maxReservations = 64

// reserve keeps capacity for tasks of a job that found none: on each machine it
// takes what will be free first, so that jobs behind it in the order of
// readiness use only what does not delay it.
func (s *Scheduler) reserve(job *pipeline.Job, left int, capacities []*Capacity, now event.Time) {
	if left <= 0 || s.round.reserved >= maxReservations {
		return
	}
	if job.Shape != pipeline.Gang {
		left = min(left, maxReservations-s.round.reserved)
	}
	picks, zone := s.earliestCapacity(job, left, capacities, now)
	if job.IsGang() && job.ActiveCount() == 0 && len(picks) < left {
		return // however long it waits for what is up: others may use that
	}
	if zone != anyZone && len(picks) == left {
		setReservedZone(job, zone)
	}
	for _, pick := range picks {
		s.round.reserved++
		s.reserveTask(job, pick.capacity, now)
	}
}

// earliestCapacity picks the capacity that will be free first, and returns the zone
// that it was looked for in. For a gang that must be in one place a zone is chosen
// once and kept: else the capacity that gathers in one would be left for another
// whenever that looks a little better, and small jobs would take it.
func (s *Scheduler) earliestCapacity(job *pipeline.Job, count int, capacities []*Capacity, now event.Time) (best []pick, bestZone int) {
	price := func(capacity *Capacity, _ taken) (float64, []*pipeline.Assignment, bool) {
		after := s.fitsAfter(job, capacity, now)
		return after, nil, !math.IsInf(after, 1)
	}
	soonest := math.Inf(1)
	bestZone = anyZone
	reserved, hasReserved := reservedZone(job)
	for _, zone := range s.zonesToTry(job, capacities) {
		var picks []pick
		if count == 1 {
			picks = s.earliestSingle(job, capacities, zone, now)
		} else {
			picks = s.choose(job, capacities, zone, count, price, now)
		}
		if len(picks) == 0 {
			continue
		}
		if after := lastCost(picks, count); after < soonest {
			soonest = after
			best = picks
			bestZone = zone
		}
		if hasReserved && zone == reserved {
			break
		}
	}
	return best, bestZone
}

// capacityRelease is a machine with the seconds after which capacity comes free there first:
// no task that is waiting fits sooner.
type capacityRelease struct {
	capacity *Capacity
	after    float64
	index    int // of the machine among the others, so that equal ones keep an order
}

// listByRelease lists the machines by when capacity comes free first.
func (s *Scheduler) listByRelease(capacities []*Capacity, now event.Time) []capacityRelease {
	roomy := make(map[*Capacity]bool, len(s.round.roomy))
	for _, capacity := range s.round.roomy {
		roomy[capacity] = true
	}
	list := make([]capacityRelease, 0, len(capacities))
	for i, capacity := range capacities {
		if !capacity.endingsListed {
			s.listEndings(capacity, now)
		}
		switch {
		case roomy[capacity]:
			list = append(list, capacityRelease{capacity, 0, i})
		case len(capacity.endings) > 0:
			list = append(list, capacityRelease{capacity, capacity.endings[0].after, i})
		}
	}
	slices.SortFunc(list, capacityRelease.compare)
	return list
}

func (f capacityRelease) compare(other capacityRelease) int {
	return cmp.Or(cmp.Compare(f.after, other.after), cmp.Compare(f.index, other.index))
}

// earliestSingle picks the capacity that will be free first for a single task, as choose
// would among all machines, and looks no further than at those that may be the one.
func (s *Scheduler) earliestSingle(job *pipeline.Job, capacities []*Capacity, zone int, now event.Time) []pick {
	if s.round.bySoonest == nil {
		s.round.bySoonest = s.listByRelease(capacities, now)
	}
	inZone := s.TasksByZone(job)
	var best capacityRelease
	for _, candidate := range s.round.bySoonest {
		if best.capacity != nil && candidate.compare(best) > 0 {
			break
		}
		s.counters.machinesVisited++
		capacity := candidate.capacity
		if !mayChoose(job, capacity, zone, now) || TasksAllowedInZone(job, inZone, capacity.Zone) <= 0 {
			continue
		}
		found := capacityRelease{capacity, s.fitsAfter(job, capacity, now), candidate.index}
		if !math.IsInf(found.after, 1) && (best.capacity == nil || found.compare(best) < 0) {
			best = found
		}
	}
	if best.capacity == nil {
		return nil
	}
	return []pick{{capacity: best.capacity, cost: best.after}}
}

// lastCost is the cost of the last pick. Where there are fewer than wanted, for want
// of machines, it is beyond all real costs, and least where there are the most.
func lastCost(picks []pick, wanted int) float64 {
	if len(picks) < wanted {
		return math.MaxFloat64 / float64(1+len(picks))
	}
	return picks[len(picks)-1].cost
}

// fitsAfter estimates in how many seconds a task of the job fits on a machine.
func (s *Scheduler) fitsAfter(job *pipeline.Job, capacity *Capacity, now event.Time) float64 {
	if capacity.Fits(&job.Spec) > 0 {
		return 0
	}
	if !capacity.endingsListed {
		s.listEndings(capacity, now)
	}
	free := *capacity
	for _, ending := range capacity.endings {
		free.release(&ending.entry.Job.Spec)
		if free.Fits(&job.Spec) > 0 {
			return ending.after
		}
	}
	return math.Inf(1)
}

// listEndings lists when the tasks of a machine are expected to end.
func (s *Scheduler) listEndings(capacity *Capacity, now event.Time) {
	capacity.endingsListed = true
	for _, entry := range s.jobs.OnMachine(capacity.Machine.Index) {
		if entry.Phase == pipeline.TaskExited {
			continue // it was not counted
		}
		after := s.RemainingRuntime(entry, now)
		if entry.Evicting {
			after = entry.Job.CheckpointDuration
		}
		capacity.endings = append(capacity.endings, ending{entry, after})
	}
	sortEndings(capacity.endings)
}
