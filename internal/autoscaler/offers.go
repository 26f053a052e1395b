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

// tieBreakWeight weighs less than any real difference in price.
const tieBreakWeight = 1e-3

// anyZone stands for no restriction to a zone.
const anyZone = -1

// offer is what the cloud can be asked for: a machine type in a zone, as a spot
// machine or not.
type offer struct {
	machineType int
	zone        int
	spot        bool
}

// offerOf returns the offer under which a machine was provisioned.
func offerOf(machine *worker.Machine) offer {
	return offer{machine.MachineType(), machine.Zone(), machine.Spot()}
}

// compare orders offers by type and zone, spot machines first.
func (o offer) compare(other offer) int {
	return cmp.Or(cmp.Compare(o.machineType, other.machineType), cmp.Compare(o.zone, other.zone), o.compareSpot(other))
}

func (o offer) compareSpot(other offer) int {
	switch {
	case o.spot == other.spot:
		return 0
	case o.spot:
		return -1
	default:
		return 1
	}
}

// sortedOffers lists the keys in an order that does not change from run to run.
func sortedOffers(counts map[offer]int) []offer {
	return slices.SortedFunc(maps.Keys(counts), offer.compare)
}

// capacity is an empty machine of an offer, nil where its type is not known.
func (a *Autoscaler) capacity(o offer) *scheduler.Capacity {
	machineType := a.machineTypes.Get(o.machineType)
	if machineType == nil {
		return nil
	}
	return &scheduler.Capacity{
		MachineType: machineType,
		Zone:        o.zone,
		Spot:        o.spot,
		FreeCPUs:    machineType.CPUs,
		FreeGPUs:    machineType.GPUs,
		FreeMemory:  machineType.Memory,
	}
}

// price is what a machine of an offer costs per hour.
func (a *Autoscaler) price(o offer) float64 {
	machineType := a.machineTypes.Get(o.machineType)
	if o.spot {
		return machineType.SpotPrice
	}
	return machineType.Price
}

// offerQuery asks for machines for tasks of a job.
type offerQuery struct {
	job    *pipeline.Job
	tasks  int
	inZone map[int]int   // tasks of the job that are in each zone already
	zone   int           // the only one allowed, or anyZone
	need   map[offer]int // machines that the plan asks for already
	now    event.Time
}

// quote is an offer that answers a query.
type quote struct {
	offer offer
	tasks int     // that fit on one machine
	cost  float64 // per task and hour
}

// cheapestOffer finds the offer at which the tasks cost least.
func (a *Autoscaler) cheapestOffer(query offerQuery) (best quote, ok bool) {
	least := math.Inf(1)
	for _, machineType := range a.machineTypes {
		if !scheduler.Allows(&query.job.Spec, machineType) {
			continue
		}
		for _, zone := range machineType.Zones {
			for _, spot := range []bool{true, false} {
				quote, available := a.quote(query, offer{machineType.Index, zone, spot})
				if available && quote.cost < least {
					least = quote.cost
					best = quote
					ok = true
				}
			}
		}
	}
	return best, ok
}

// quote tells what an offer costs for a query, and whether it can be had.
func (a *Autoscaler) quote(query offerQuery, o offer) (result quote, available bool) {
	soldOut := query.now < a.provisioning.refused[o].until
	otherZone := query.zone != anyZone && o.zone != query.zone
	if soldOut || otherZone || a.partitioned[o.zone] {
		return quote{}, false
	}
	capacity := a.capacity(o)
	if !capacity.Matches(&query.job.Spec) {
		return quote{}, false
	}
	tasks := min(capacity.Fits(&query.job.Spec), scheduler.TasksAllowedInZone(query.job, query.inZone, o.zone))
	if tasks <= 0 {
		return quote{}, false
	}
	// Machines are spread over equal offers, so that one plan reaches the capacity
	// of all zones.
	cost := a.price(o) / float64(min(tasks, query.tasks)) * (1 + tieBreakWeight*float64(query.need[o]))
	if a.provisioning.overdue[o] {
		cost *= overdueCost
	}
	return quote{o, tasks, cost}, true
}
