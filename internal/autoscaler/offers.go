package autoscaler

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"lugward/internal/event"
	"lugward/internal/pipeline"
	"lugward/internal/scheduler"
)

type offer struct {
	machineType, zone int
	spot              bool
}

func (r *Autoscaler) price(o offer) float64 {
	f := r.MachineTypes.Get(o.machineType)
	if o.spot {
		return f.SpotPrice
	}
	return f.Price
}

// cheapestOffer finds the offer at which the tasks cost least per hour.
func (r *Autoscaler) cheapestOffer(j *pipeline.Job, left int, inZone map[int]int, only int, need map[offer]int, now event.Time) (best offer, per int, ok bool) {
	least := math.Inf(1)
	for _, f := range r.MachineTypes {
		if !scheduler.Allows(&j.Spec, f) {
			continue
		}
		for _, z := range f.Zones {
			for _, spot := range []bool{true, false} {
				o := offer{f.Index, z, spot}
				capacity := r.capacity(o)
				if now < r.refused[o].until || r.partitioned[z] || !capacity.Matches(&j.Spec) || (only >= 0 && z != only) {
					continue
				}
				n := min(capacity.Fits(&j.Spec), scheduler.ZoneCapacity(j, inZone, z))
				if n <= 0 {
					continue
				}
				// Equal offers share what is asked, so that one plan reaches the
				// capacity of all zones.
				cost := r.price(o) / float64(min(n, left)) * (1 + tieBreakWeight*float64(need[o]))
				if r.overdueNow[o] {
					cost *= overdueCost
				}
				if cost < least {
					least, best, per, ok = cost, o, n, true
				}
			}
		}
	}
	return best, per, ok
}

// refusal is what we know of an offer that is sold out.
type refusal struct {
	until event.Time
	pause time.Duration
}

func (r *Autoscaler) refuse(o offer, now event.Time) {
	pause := min(refusedPauseMax, max(refusedPause, 2*r.refused[o].pause))
	r.refused[o] = refusal{now + pause, pause}
}

// sortedOffers lists the keys in an order that does not change from run to run.
func sortedOffers(m map[offer]int) []offer {
	return slices.SortedFunc(maps.Keys(m), func(a, b offer) int {
		spot := 0
		if a.spot != b.spot {
			if spot = 1; a.spot {
				spot = -1
			}
		}
		return cmp.Or(cmp.Compare(a.machineType, b.machineType), cmp.Compare(a.zone, b.zone), spot)
	})
}
