package autoscaler

import (
	"maps"
	"math"
	"slices"

	"lugward/internal/event"
	"lugward/internal/pipeline"
	"lugward/internal/scheduler"
)

// Plan provisions for the tasks that found no capacity, as things will stand when a
// machine asked for now is up: what ends or leaves by then frees capacity, what
// was stopped needs capacity again, and machines that are booting are filled in
// thought. What is left is bought where a task costs least.
func (r *Autoscaler) Plan(now event.Time, blocked []*pipeline.Job, p *scheduler.Scheduler, term uint64, out *event.Effects) {
	if !r.mayPlan {
		if now >= r.planFrom && !r.listing {
			r.listAt = now - listInterval
		}
		return
	}
	r.overdueNow = r.overdueOffers(now)
	capacities, leaving := p.FutureCapacities(now)
	retries := map[*pipeline.Job]int{}
	for _, e := range leaving {
		if retries[e.Job]++; retries[e.Job] == 1 && !slices.Contains(blocked, e.Job) {
			blocked = append(blocked, e.Job)
		}
	}
	coming := map[int]*scheduler.Capacity{}
	for _, i := range slices.Sorted(maps.Keys(r.booting)) {
		if h := r.workers.At(i); h != nil && !h.Retiring && h.LastReport == 0 && !(r.booting[i].up && r.partitioned[h.Zone]) && !r.overdue(r.booting[i], now) {
			if coming[i] = r.capacity(r.booting[i].offer); coming[i] != nil {
				capacities = append(capacities, coming[i])
			}
		}
	}
	for _, o := range sortedOffers(r.provisioning) {
		for n := r.provisioning[o]; n > 0; n-- {
			capacities = append(capacities, r.capacity(o))
		}
	}
	need := map[offer]int{}
	promised := map[int]pipeline.Usage{} // by team
	sequences := sequences{}
	for _, j := range blocked {
		left := min(j.StartableCount(), p.QuotaBeside(j, promised[j.Team]))
		if j.Shape == pipeline.Gang && left < j.StartableCount() {
			continue
		}
		if j.AtFault() && hasMachineFor(j, capacities) {
			continue // its probe waits for a machine that is there
		}
		u := promised[j.Team]
		u.Add(&j.Spec, float64(left))
		promised[j.Team] = u
		left += retries[j]
		boot := r.bootTime(j)
		left = sequences.places(j, left, boot+r.cfg.IdleKeep.Seconds(), p.Workers.ExpectedRuntime(j))
		for _, capacity := range capacities {
			if capacity != nil {
				capacity.ReleaseEnding(boot)
			}
		}
		inZone := p.Zones(j)
		only, ok := r.onlyZone(j, inZone, capacities, left, now)
		if !ok {
			continue
		}
		for _, capacity := range capacities {
			if left == 0 {
				break
			}
			if capacity == nil || !capacity.Matches(&j.Spec) || (capacity.Machine != nil && j.Avoids(capacity.Machine.Index, int64(now))) || (only >= 0 && capacity.Zone != only) {
				continue
			}
			if n := min(left, capacity.Fits(&j.Spec), scheduler.ZoneCapacity(j, inZone, capacity.Zone)); n > 0 {
				capacity.Allocate(&j.Spec, n)
				inZone[capacity.Zone] += n
				left -= n
			}
		}
		for left > 0 {
			o, per, ok := r.cheapestOffer(j, left, inZone, only, need, now)
			if !ok {
				break
			}
			need[o]++
			n := min(per, left)
			capacity := r.capacity(o)
			capacity.Allocate(&j.Spec, n)
			inZone[o.zone] += n
			capacities = append(capacities, capacity)
			left -= n
		}
	}
	for i, capacity := range coming {
		// What it was provisioned for may be done or have found capacity elsewhere.
		switch b := r.booting[i]; {
		case capacity == nil || capacity.Busy:
			b.idle = 0
		case b.idle == 0:
			b.idle = now
		case now-b.idle > 2*r.cfg.IdleKeep && len(r.jobs.OnMachine(i)) == 0:
			r.workers.At(i).Retiring = true // logged and returned by the next tick
		}
	}
	for _, o := range sortedOffers(need) {
		if !r.allowed(now) {
			return
		}
		r.provision(now, o, min(need[o], maxProvisionBatch), term, out)
	}
}

func (r *Autoscaler) capacity(o offer) *scheduler.Capacity {
	f := r.MachineTypes.Get(o.machineType)
	if f == nil {
		return nil
	}
	return &scheduler.Capacity{MachineType: f, Zone: o.zone, Spot: o.spot, CPUs: f.CPUs, GPUs: f.GPUs, Memory: f.Memory}
}

// hasMachineFor tells whether a task of a job fits on one of the machines once it is
// empty.
func hasMachineFor(j *pipeline.Job, capacities []*scheduler.Capacity) bool {
	return slices.ContainsFunc(capacities, func(c *scheduler.Capacity) bool {
		return c != nil && c.Matches(&j.Spec) && scheduler.Allows(&j.Spec, c.MachineType)
	})
}

// bootTime is how soon a machine asked for now can be up for a job: by the
// cloud's word, the quickest type, in seconds.
func (r *Autoscaler) bootTime(j *pipeline.Job) float64 {
	least := math.Inf(1)
	for _, f := range r.MachineTypes {
		if scheduler.Allows(&j.Spec, f) {
			least = min(least, r.expectedBoot(f))
		}
	}
	if math.IsInf(least, 1) {
		return 0
	}
	return least
}

// onlyZone names the zone to which a job that must stay in one is bound: the
// one its tasks may still be in, else the one where the missing machines cost
// least. -1: any; false: there is none.
func (r *Autoscaler) onlyZone(j *pipeline.Job, inZone map[int]int, capacities []*scheduler.Capacity, left int, now event.Time) (zone int, ok bool) {
	if !j.SamePlace {
		return -1, true
	}
	if len(inZone) > 0 {
		zone = slices.Sorted(maps.Keys(inZone))[0]
		return zone, len(inZone) == 1 && zone >= 0
	}
	least := math.Inf(1)
	for z := range r.names.Zones.Len() {
		rest := left
		for _, capacity := range capacities {
			if capacity != nil && capacity.Zone == z && capacity.Matches(&j.Spec) {
				rest -= capacity.Fits(&j.Spec)
			}
		}
		cost := 0.0
		if rest > 0 {
			o, per, found := r.cheapestOffer(j, rest, inZone, z, nil, now)
			if !found {
				continue
			}
			cost = r.price(o) * math.Ceil(float64(rest)/float64(per))
		}
		if cost < least {
			least, zone, ok = cost, z, true
		}
	}
	return zone, ok
}
