package autoscaler

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"lugward/internal/event"
	"lugward/internal/pipeline"
	"lugward/internal/scheduler"
	"lugward/internal/worker"
)

const (
	// tieBreakWeight is small enough that it never outweighs a real difference in price.
	tieBreakWeight = 1e-3
	// overdueCostFactor multiplies the cost of a pool with overdue machines. Such a pool
	// is used only if every other pool costs more than this factor times as much.
	overdueCostFactor = 3.0
)

// machinePool identifies a pool from which the cloud provisions machines: a machine
// type in a zone, either as spot machines or not.
type machinePool struct {
	machineType pipeline.MachineTypeIndex
	zone        pipeline.ZoneIndex
	spot        bool
}

// poolOf returns the pool that a machine was provisioned from.
func poolOf(machine *worker.Machine) machinePool {
	return machinePool{machineType: machine.MachineType(), zone: machine.Zone(), spot: machine.Spot()}
}

// compare orders pools by machine type, then by zone, then spot before non-spot pools.
func (p machinePool) compare(other machinePool) int {
	return cmp.Or(cmp.Compare(p.machineType, other.machineType), cmp.Compare(p.zone, other.zone), p.compareSpot(other))
}

func (p machinePool) compareSpot(other machinePool) int {
	switch {
	case p.spot == other.spot:
		return 0
	case p.spot:
		return -1
	default:
		return 1
	}
}

// sortedPools returns the pools in counts in a deterministic order.
func sortedPools(counts map[machinePool]int) []machinePool {
	return slices.SortedFunc(maps.Keys(counts), machinePool.compare)
}

// poolQuery describes the tasks of a job that need machines.
type poolQuery struct {
	job          *pipeline.Job
	tasks        int
	tasksPerZone scheduler.ZoneCounts // tasks of the job that are already in each zone
	zone         pipeline.ZoneIndex   // the only allowed zone, or pipeline.AnyZone
	needed       map[machinePool]int  // machines that the plan already provisions, by pool
}

// poolCandidate is a pool that can provide machines for a query.
type poolCandidate struct {
	pool  machinePool
	tasks int     // number of tasks that one machine can run
	cost  float64 // cost per task and hour, including overdueCostFactor and tie-break
}

// poolSelector selects the pools from which machines are provisioned.
type poolSelector struct {
	catalog     *machineTypeCatalog
	provisioner *provisioner
	partitions  *partitionDetector
	overdue     map[machinePool]bool // pools with overdue machines
	now         event.Time
}

// cheapest returns the usable pool with the lowest cost per task of the query.
func (s *poolSelector) cheapest(query poolQuery) (best poolCandidate, found bool) {
	lowest := math.Inf(1)
	for _, machineType := range s.catalog.types {
		if !machineType.CanRun(&query.job.Spec) {
			continue
		}
		for _, zone := range machineType.Zones {
			for _, spot := range []bool{true, false} {
				pool := machinePool{machineType: machineType.Index, zone: zone, spot: spot}
				candidate, usable := s.evaluate(query, pool)
				if usable && candidate.cost < lowest {
					lowest = candidate.cost
					best = candidate
					found = true
				}
			}
		}
	}
	return best, found
}

// evaluate returns the candidate for a pool, with its cost for the query. usable is
// false if the pool cannot be used for the query.
func (s *poolSelector) evaluate(query poolQuery, pool machinePool) (candidate poolCandidate, usable bool) {
	otherZone := query.zone != pipeline.AnyZone && pool.zone != query.zone
	if s.provisioner.backingOff(pool, s.now) || otherZone || s.partitions.isPartitioned(pool.zone) {
		return poolCandidate{}, false
	}
	capacity := s.catalog.capacity(pool)
	if !capacity.Matches(&query.job.Spec) {
		return poolCandidate{}, false
	}
	tasks := min(capacity.FittingTasks(&query.job.Spec), scheduler.TasksAllowedInZone(query.job, query.tasksPerZone, pool.zone))
	if tasks <= 0 {
		return poolCandidate{}, false
	}
	// The tie-break spreads machines over pools of equal cost, so that a single plan can
	// use the capacity of all zones.
	cost := s.catalog.price(pool) / float64(min(tasks, query.tasks)) * (1 + tieBreakWeight*float64(query.needed[pool]))
	if s.overdue[pool] {
		cost *= overdueCostFactor
	}
	return poolCandidate{pool: pool, tasks: tasks, cost: cost}, true
}
