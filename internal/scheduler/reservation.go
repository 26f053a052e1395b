package scheduler

import (
	"cmp"
	"math"
	"slices"

	"lugward/internal/pipeline"
	"lugward/internal/worker"
)

// maxReservations bounds the reservations of one round: jobs further back in the
// order wait for later rounds. A gang whose reservation begins within the bound gets
// it as a whole.
const maxReservations = 64

// reservation is capacity on a machine that one task of a job waits for.
type reservation struct {
	job     *pipeline.Job
	machine *worker.Machine
}

// reserve reserves capacity for a number of tasks of a job that found none: what will
// be free first. Jobs behind it can still be backfilled onto what does not delay it.
func (r *round) reserve(job *pipeline.Job, tasks int) {
	if tasks <= 0 || r.reservationCount >= maxReservations {
		return
	}
	if job.Shape != pipeline.Gang {
		tasks = min(tasks, maxReservations-r.reservationCount)
	}
	slots, zone := r.earliestSlots(job, tasks)
	if job.IsGang() && job.ActiveCount() == 0 && len(slots) < tasks {
		return // it never fits on the machines that are up: others may use them
	}
	if zone.IsSingle() && len(slots) == tasks {
		job.ReserveZone(zone)
	}
	for _, slot := range slots {
		r.reservationCount++
		r.reserveTask(job, slot.capacity)
	}
}

// reserveTask reserves capacity that is not free yet for a task that waits for it.
func (r *round) reserveTask(job *pipeline.Job, capacity *Capacity) {
	capacity.Allocate(&job.Spec, 1)
	r.reserved.add(job)
	capacity.Machine.Reserve(r.now)
	r.interruption.reservations = append(r.interruption.reservations, reservation{job, capacity.Machine})
}

// restoreReservations allocates what an interrupted round reserved.
func (r *round) restoreReservations(reservations []reservation) {
	if len(reservations) == 0 {
		return
	}
	byMachine := make(map[*worker.Machine]*Capacity, len(r.capacities))
	for _, capacity := range r.capacities {
		byMachine[capacity.Machine] = capacity
	}
	for _, reservation := range reservations {
		capacity := byMachine[reservation.machine]
		job := reservation.job
		if capacity != nil && job.StartableCount() > 0 && job.TerminalPhase == pipeline.Queued {
			capacity.Allocate(&job.Spec, 1)
			r.reserved.add(job)
		}
	}
}

// earliestSlots finds the slots that come free first, and returns the zone that they
// were found in. For a gang with an affinity constraint a zone is chosen once and
// kept: else the capacity that has come free in one zone would be given up whenever
// another looks a little better, and small jobs would take it.
func (r *round) earliestSlots(job *pipeline.Job, count int) (best []slot, bestZone pipeline.ZoneSelector) {
	earliest := math.Inf(1)
	chosen := job.ReservedZone()
	for _, zone := range r.zonesToSearch(job) {
		slots := r.earliestSlotsInZone(job, count, zone)
		if len(slots) == 0 {
			continue
		}
		if after := completeAfter(slots, count); after < earliest {
			earliest = after
			best = slots
			bestZone = zone
		}
		if chosen.IsSingle() && zone == chosen {
			break
		}
	}
	return best, bestZone
}

// completeAfter is after how many seconds the last of the wanted slots is free. Where
// there are fewer than wanted, for want of machines, it is beyond all real times, and
// least where there are the most.
func completeAfter(slots []slot, wanted int) float64 {
	if len(slots) < wanted {
		return math.MaxFloat64 / float64(1+len(slots))
	}
	return slots[len(slots)-1].cost
}

// earliestSlotsInZone finds the slots that come free first in a zone; their cost is
// the time until then. A single slot, by far the most frequent case, is found without
// a look at every machine.
func (r *round) earliestSlotsInZone(job *pipeline.Job, count int, zone pipeline.ZoneSelector) []slot {
	if count > 1 {
		return r.cheapestSlots(slotSearch{job: job, zone: zone, count: count, price: r.releasePricing(job)})
	}
	if earliest, ok := r.earliestSlot(job, zone); ok {
		return []slot{earliest}
	}
	return nil
}

// releasePricing prices a slot by the time until a task of a job fits.
func (r *round) releasePricing(job *pipeline.Job) slotPricing {
	return func(free *Capacity, _ victimSet) (slotPrice, bool) {
		after := r.fitsAfter(job, free, r.now)
		return slotPrice{cost: after}, !math.IsInf(after, 1)
	}
}

// machineRelease is when capacity comes free on a machine for the first time, in
// seconds: no waiting task fits there sooner.
type machineRelease struct {
	capacity *Capacity
	after    float64
	index    int // of the machine among the others, so that equal times keep an order
}

func (m machineRelease) compare(other machineRelease) int {
	return cmp.Or(cmp.Compare(m.after, other.after), cmp.Compare(m.index, other.index))
}

// earliestSlot finds the slot that comes free first. It is the same as that of
// cheapestSlots with releasePricing for a count of one, but it visits the machines in
// the order of their first release and ends at the first one that cannot be earlier
// than the best so far. It holds for one slot only, since a slot that is used changes
// when its machine's next one is free.
func (r *round) earliestSlot(job *pipeline.Job, zone pipeline.ZoneSelector) (earliest slot, ok bool) {
	if r.byFirstRelease == nil {
		r.byFirstRelease = r.listByFirstRelease()
	}
	placed := r.TasksByZone(job)
	var best machineRelease
	for _, machine := range r.byFirstRelease {
		if best.capacity != nil && machine.compare(best) > 0 {
			break
		}
		r.counters.machinesVisited++
		capacity := machine.capacity
		if !capacity.eligible(job, zone, r.now) || TasksAllowedInZone(job, placed, capacity.Zone) <= 0 {
			continue
		}
		found := machineRelease{capacity, r.fitsAfter(job, capacity, r.now), machine.index}
		if !math.IsInf(found.after, 1) && (best.capacity == nil || found.compare(best) < 0) {
			best = found
		}
	}
	if best.capacity == nil {
		return slot{}, false
	}
	return slot{best.capacity, slotPrice{cost: best.after}}, true
}

// listByFirstRelease lists the machines by when capacity comes free there first.
func (r *round) listByFirstRelease() []machineRelease {
	hasRoom := make(map[*Capacity]bool, len(r.withRoom))
	for _, capacity := range r.withRoom {
		hasRoom[capacity] = true
	}
	list := make([]machineRelease, 0, len(r.capacities))
	for i, capacity := range r.capacities {
		releases := r.expectedReleases(capacity, r.now)
		switch {
		case hasRoom[capacity]:
			list = append(list, machineRelease{capacity, 0, i})
		case len(releases) > 0:
			list = append(list, machineRelease{capacity, releases[0].after, i})
		}
	}
	slices.SortFunc(list, machineRelease.compare)
	return list
}
