package simtest

import (
	"sort"
	"time"
)

// besideCapacityLimit is how long a job may be left waiting beside a machine that fits
// and has capacity, with its team under its limit, once all troubles are over.
const besideCapacityLimit = 90 * time.Second

// checkWaitsBesideCapacity notes which jobs wait beside capacity for them, and since when.
func (c *Checker) checkWaitsBesideCapacity() {
	if c.faultsOverAt == 0 {
		return
	}
	if c.writesExhausted() {
		// They wait for the state service's write rate: a fault that lasts.
		clear(c.beside)
	}
	capacities, used := c.capacities(), c.used()
	for id, phase := range c.acknowledged {
		j := c.w.jobs[id]
		if phase == "done" || j == nil || c.cancelRequested(id) || c.held(id) || j.broken || j.mustRefuse != 0 || !c.fits(j, capacities, used) {
			delete(c.beside, id)
			continue
		}
		if _, ok := c.beside[id]; !ok {
			c.beside[id] = c.w.now
		}
	}
	var ids []string
	for id, since := range c.beside {
		if c.w.now-since > besideCapacityLimit {
			ids = append(ids, id)
		}
	}
	sort.Strings(ids)
	for _, id := range ids {
		c.broken("left waiting: %s beside room for it for %s", id, c.w.now-c.beside[id])
		c.beside[id] = c.w.now
	}
}

// writesExhausted tells whether lately as much was written as a service may
// that leaves a part of the rate for what is in flight.
func (c *Checker) writesExhausted() bool {
	const moments, most = int(capacityWindow / watchEvery), 0.75
	c.wrote = append(c.wrote, c.w.state.written)
	if len(c.wrote) <= moments {
		return false
	}
	c.wrote = c.wrote[len(c.wrote)-moments-1:]
	return float64(c.wrote[moments]-c.wrote[0]) > most*c.w.cfg.Settings.State.WriteRPS*capacityWindow.Seconds()
}

// capacity is what is left of a machine.
type capacity struct {
	k                  *worker
	cpus, gpus, memory float64
}

// capacityWindow is for how long capacity must have been there to count: what comes
// free and is taken again within that time is a queue that moves.
const capacityWindow = 5 * time.Second

// capacities lists what has been free for a while on each machine that everybody
// reaches.
func (c *Checker) capacities() []capacity {
	const moments = int(capacityWindow / watchEvery)
	var list []capacity
	for _, k := range c.w.Workers() {
		if !k.up || k.hung || k.reportsBlocked || k.reclaimAt != 0 || k.slow > 0 || k.faulty || c.w.unreachable(k) {
			delete(c.free, k)
			continue
		}
		f := machineTypes[k.machineType]
		r := capacity{k, f.cpus, f.gpus, f.memory}
		for _, t := range k.tasks {
			if t.phase != "exited" {
				r.cpus, r.gpus, r.memory = r.cpus-t.job.cpus, r.gpus-t.job.gpus, r.memory-t.job.memory
			}
		}
		c.free[k] = append(c.free[k], r)
		if len(c.free[k]) < moments {
			continue
		}
		c.free[k] = c.free[k][len(c.free[k])-moments:]
		for _, o := range c.free[k] {
			r.cpus, r.gpus, r.memory = min(r.cpus, o.cpus), min(r.gpus, o.gpus), min(r.memory, o.memory)
		}
		list = append(list, r)
	}
	return list
}

// used is what each team's tasks take, those included that fetch their image.
func (c *Checker) used() map[string][2]float64 {
	use := map[string][2]float64{}
	for _, k := range c.w.workers {
		if !k.up {
			continue
		}
		for _, t := range k.tasks {
			if t.phase != "exited" {
				u := use[t.job.team]
				use[t.job.team] = [2]float64{u[0] + t.job.cpus, u[1] + t.job.gpus}
			}
		}
	}
	return use
}

// fits tells whether a job waits though its next task, or all those of a gang,
// could be started on these machine capacities.
func (c *Checker) fits(j *job, capacities []capacity, used map[string][2]float64) bool {
	held, inZone := map[int]bool{}, map[string]int{}
	for _, k := range c.w.workers {
		if !k.up || k.certainlyLost() {
			continue
		}
		for _, t := range k.tasks {
			if t.job == j && t.phase != "exited" {
				held[t.index] = true
				inZone[k.zone]++
			}
		}
	}
	need := 0
	for i := range j.taskCount {
		if !held[i] && !j.complete[i] && !j.breaks(i) {
			need++
		}
	}
	if need == 0 || (j.shape == "gang" && need < j.taskCount) {
		return false
	}
	if j.shape != "gang" {
		need = 1
	}
	u := used[j.team]
	for _, team := range c.w.cfg.Settings.Teams {
		n := float64(need)
		if team.Name == j.team && ((team.CPUsMax > 0 && u[0]+n*j.cpus > team.CPUsMax) || (team.GPUsMax > 0 && u[1]+n*j.gpus > team.GPUsMax)) {
			return false
		}
	}
	inOne := map[string]int{}
	for _, r := range capacities {
		allowed := j.machineTypes == nil
		for _, f := range j.machineTypes {
			allowed = allowed || f == r.k.machineType
		}
		if !allowed || (j.zone != "" && j.zone != r.k.zone) || (r.k.spot && !j.allowSpot) || (j.sameZone && len(inZone) > 0 && inZone[r.k.zone] == 0) {
			continue
		}
		for x := 0; x < need && r.cpus >= j.cpus && r.gpus >= j.gpus && r.memory >= j.memory; x++ {
			r.cpus, r.gpus, r.memory = r.cpus-j.cpus, r.gpus-j.gpus, r.memory-j.memory
			inOne[r.k.zone]++
		}
	}
	sum := 0
	for z, n := range inOne {
		if j.scatter {
			n = min(n, (j.taskCount+1)/2-inZone[z])
		}
		if j.sameZone && n >= need {
			return true
		}
		sum += n
	}
	return !j.sameZone && sum >= need
}
