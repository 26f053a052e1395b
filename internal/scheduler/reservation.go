package scheduler

import (
	"cmp"
	"math"
	"slices"

	"lugward/internal/pipeline"
	"lugward/internal/worker"
)

// maxReservations limits the reservations of one round. Jobs further back in the queue
// get theirs in later rounds. A gang whose reservations start below the limit gets all
// of them.
const maxReservations = 64

// reservation is capacity on a machine that is reserved for one unassigned task of a job.
type reservation struct {
	job     *pipeline.Job
	machine *worker.Machine
}

// reserve reserves the capacity that becomes free first for a number of tasks of a job
// that do not fit now. Jobs behind it can still be backfilled onto the other capacity,
// which does not delay it.
func (r *round) reserve(job *pipeline.Job, tasks int) {
	if tasks <= 0 || r.reservationCount >= maxReservations {
		return
	}
	if job.Shape != pipeline.Gang {
		tasks = min(tasks, maxReservations-r.reservationCount)
	}
	slots, zone := r.earliestSlots(job, tasks)
	if job.IsGang() && job.ActiveCount() == 0 && len(slots) < tasks {
		return // the gang can never fit on the machines that are up, so it must not block other jobs
	}
	if zone.IsSingle() && len(slots) == tasks {
		job.ReserveZone(zone)
	}
	for _, slot := range slots {
		r.reservationCount++
		r.reserveTask(job, slot.capacity)
	}
}

// reserveTask reserves capacity on a machine for one unassigned task of a job.
func (r *round) reserveTask(job *pipeline.Job, capacity *Capacity) {
	capacity.Allocate(&job.Spec, 1)
	r.reservedUsage.add(job)
	capacity.Machine.RecordReservation(r.now)
	r.interruption.reservations = append(r.interruption.reservations, reservation{job, capacity.Machine})
}

// restoreReservations allocates the reservations of an interrupted round again, except
// those of machines that are no longer schedulable and of jobs without startable tasks.
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
			r.reservedUsage.add(job)
		}
	}
}

// earliestSlots returns the slots that become free first and the zone in which they were
// found. For a gang with a zone affinity constraint the zone is chosen once and kept.
// Otherwise the gang would give up the capacity already free in one zone whenever another
// zone looks slightly better, and small jobs would take that capacity.
func (r *round) earliestSlots(job *pipeline.Job, count int) (best []slot, bestZone pipeline.ZoneSelector) {
	earliest := math.Inf(1)
	chosen := job.ReservedZone()
	for _, zone := range r.zonesToSearch(job) {
		slots := r.earliestSlotsInZone(job, count, zone)
		if len(slots) == 0 {
			continue
		}
		if delay := timeUntilAllSlots(slots, count); delay < earliest {
			earliest = delay
			best = slots
			bestZone = zone
		}
		if chosen.IsSingle() && zone == chosen {
			break
		}
	}
	return best, bestZone
}

// timeUntilAllSlots returns the time in seconds until all wanted slots are free. If there
// are too few machines for that, the result is larger than any real time, and smaller the
// more slots there are.
func timeUntilAllSlots(slots []slot, wanted int) float64 {
	if len(slots) < wanted {
		return math.MaxFloat64 / float64(1+len(slots))
	}
	return slots[len(slots)-1].cost
}

// earliestSlotsInZone returns the slots in a zone that become free first. Their cost is
// the time in seconds until then. A single slot, by far the most frequent case, is found
// without visiting every machine.
func (r *round) earliestSlotsInZone(job *pipeline.Job, count int, zone pipeline.ZoneSelector) []slot {
	if count > 1 {
		return r.cheapestSlots(slotSearch{job: job, zone: zone, count: count, costOf: r.releaseCostFunc(job)})
	}
	if earliest, ok := r.earliestSlot(job, zone); ok {
		return []slot{earliest}
	}
	return nil
}

// releaseCostFunc returns a cost function for slots: the time in seconds until a task of
// the job fits.
func (r *round) releaseCostFunc(job *pipeline.Job) slotCostFunc {
	return func(free *Capacity, _ victimSet) (slotCost, bool) {
		delay := r.timeUntilFit(job, free, r.now)
		return slotCost{cost: delay}, !math.IsInf(delay, 1)
	}
}

// machineRelease is the first time at which capacity becomes free on a machine. No
// unassigned task fits on the machine before that.
type machineRelease struct {
	capacity *Capacity
	after    float64 // seconds from now
	index    int     // index of the machine in the round, which breaks ties between equal times
}

func (m machineRelease) compare(other machineRelease) int {
	return cmp.Or(cmp.Compare(m.after, other.after), cmp.Compare(m.index, other.index))
}

// earliestSlot returns the slot that becomes free first. It finds the same slot as
// cheapestSlots with releaseCostFunc and a count of one, but visits the machines in the
// order of their first release and stops at the first machine that cannot be earlier
// than the best one found so far. This works for a single slot only, since using a slot
// changes when the next slot of its machine is free.
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
		found := machineRelease{capacity, r.timeUntilFit(job, capacity, r.now), machine.index}
		if !math.IsInf(found.after, 1) && (best.capacity == nil || found.compare(best) < 0) {
			best = found
		}
	}
	if best.capacity == nil {
		return slot{}, false
	}
	return slot{best.capacity, slotCost{cost: best.after}}, true
}

// listByFirstRelease lists the machines in the order in which capacity first becomes free
// on them. Machines with no free capacity and no expected release are omitted.
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
