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
	// tieBreakWeight weighs less than any real difference in price.
	tieBreakWeight = 1e-3
	// A pool with overdue machines is avoided unless every other one costs more than
	// this many times as much.
	overdueCostFactor = 3.0
)

// machinePool is what the cloud provisions machines from: a machine type in a zone, as
// spot machines or not.
type machinePool struct {
	machineType pipeline.MachineTypeIndex
	zone        pipeline.ZoneIndex
	spot        bool
}

// poolOf returns the pool that a machine was provisioned from.
func poolOf(machine *worker.Machine) machinePool {
	return machinePool{machineType: machine.MachineType(), zone: machine.Zone(), spot: machine.Spot()}
}

// compare orders pools by type and zone, spot machines first.
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

// sortedPools lists the keys in an order that does not change from run to run.
func sortedPools(counts map[machinePool]int) []machinePool {
	return slices.SortedFunc(maps.Keys(counts), machinePool.compare)
}

// poolQuery asks for machines for tasks of a job.
type poolQuery struct {
	job          *pipeline.Job
	tasks        int
	tasksPerZone scheduler.ZoneCounts // tasks of the job that are in each zone already
	zone         pipeline.ZoneIndex   // the only one allowed, or pipeline.AnyZone
	needed       map[machinePool]int  // machines that the plan asks for already
}

// poolCandidate is a pool that has machines for a query.
type poolCandidate struct {
	pool  machinePool
	tasks int     // that fit on one machine
	cost  float64 // per task and hour
}

// poolSelector finds the pools to provision machines from.
type poolSelector struct {
	catalog     *machineTypeCatalog
	provisioner *provisioner
	partitions  *partitionDetector
	overdue     map[machinePool]bool // pools with overdue machines
	now         event.Time
}

// cheapest finds the pool where the tasks of a query cost least.
func (s *poolSelector) cheapest(query poolQuery) (best poolCandidate, found bool) {
	least := math.Inf(1)
	for _, machineType := range s.catalog.types {
		if !machineType.CanRun(&query.job.Spec) {
			continue
		}
		for _, zone := range machineType.Zones {
			for _, spot := range []bool{true, false} {
				pool := machinePool{machineType: machineType.Index, zone: zone, spot: spot}
				candidate, usable := s.evaluate(query, pool)
				if usable && candidate.cost < least {
					least = candidate.cost
					best = candidate
					found = true
				}
			}
		}
	}
	return best, found
}

// evaluate tells what a pool costs for a query, and whether it can be used.
func (s *poolSelector) evaluate(query poolQuery, pool machinePool) (candidate poolCandidate, usable bool) {
	otherZone := query.zone != pipeline.AnyZone && pool.zone != query.zone
	if s.provisioner.backingOff(pool, s.now) || otherZone || s.partitions.isPartitioned(pool.zone) {
		return poolCandidate{}, false
	}
	capacity := s.catalog.capacity(pool)
	if !capacity.Matches(&query.job.Spec) {
		return poolCandidate{}, false
	}
	tasks := min(capacity.Fits(&query.job.Spec), scheduler.TasksAllowedInZone(query.job, query.tasksPerZone, pool.zone))
	if tasks <= 0 {
		return poolCandidate{}, false
	}
	// Machines are spread over pools of equal cost, so that one plan reaches the
	// capacity of all zones.
	cost := s.catalog.price(pool) / float64(min(tasks, query.tasks)) * (1 + tieBreakWeight*float64(query.needed[pool]))
	if s.overdue[pool] {
		cost *= overdueCostFactor
	}
	return poolCandidate{pool: pool, tasks: tasks, cost: cost}, true
}
