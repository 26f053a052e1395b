package simtest

import (
	"sort"
	"time"
)

// maxWaitBesideCapacity is how long a job may be left waiting beside a machine that fits
// and has capacity, with its team under its limit, once all troubles are over.
const maxWaitBesideCapacity = 90 * time.Second

// checkWaitsBesideCapacity notes which jobs wait beside capacity for them, and since when.
func (checker *Checker) checkWaitsBesideCapacity() {
	if checker.faultsOverAt == 0 {
		return
	}
	if checker.writesExhausted() {
		// They wait for the state service's write rate: a fault that lasts.
		clear(checker.waitingSince)
	}
	capacities, used := checker.freeCapacities(), checker.usedByTeam()
	for id, phase := range checker.acknowledgedPhase {
		job := checker.world.jobs[id]
		if phase == "done" || job == nil || checker.cancelRequested(id) || checker.waitsForUpstream(id) || job.broken || job.expectedRefusal != 0 || !checker.couldStart(job, capacities, used) {
			delete(checker.waitingSince, id)
			continue
		}
		if _, ok := checker.waitingSince[id]; !ok {
			checker.waitingSince[id] = checker.world.now
		}
	}
	var ids []string
	for id, since := range checker.waitingSince {
		if checker.world.now-since > maxWaitBesideCapacity {
			ids = append(ids, id)
		}
	}
	sort.Strings(ids)
	for _, id := range ids {
		checker.reportViolation("left waiting: %s beside room for it for %s", id, checker.world.now-checker.waitingSince[id])
		checker.waitingSince[id] = checker.world.now
	}
}

// writesExhausted tells whether lately as much was written as a service may
// that leaves a part of the rate for what is in flight.
func (checker *Checker) writesExhausted() bool {
	const moments, most = int(capacityWindow / invariantCheckInterval), 0.75
	checker.writeCounts = append(checker.writeCounts, checker.world.stateService.writtenKeys)
	if len(checker.writeCounts) <= moments {
		return false
	}
	checker.writeCounts = checker.writeCounts[len(checker.writeCounts)-moments-1:]
	return float64(checker.writeCounts[moments]-checker.writeCounts[0]) > most*checker.world.config.Settings.State.WriteRPS*capacityWindow.Seconds()
}

// freeCapacity is what is left of a machine.
type freeCapacity struct {
	worker             *fakeWorker
	cpus, gpus, memory float64
}

// capacityWindow is for how long capacity must have been there to count: what comes
// free and is taken again within that time is a queue that moves.
const capacityWindow = 5 * time.Second

// freeCapacities lists what has been free for a while on each machine that everybody
// reaches.
func (checker *Checker) freeCapacities() []freeCapacity {
	const moments = int(capacityWindow / invariantCheckInterval)
	var list []freeCapacity
	for _, worker := range checker.world.sortedWorkers() {
		if !worker.up || worker.hung || worker.heartbeatsBlocked || worker.reclaimAt != 0 || worker.slowdown > 0 || worker.faulty || checker.world.isUnreachable(worker) {
			delete(checker.recentFree, worker)
			continue
		}
		kind := machineTypes[worker.machineType]
		free := freeCapacity{worker, kind.cpus, kind.gpus, kind.memory}
		for _, assignment := range worker.assignments {
			if assignment.phase != "exited" {
				free.cpus, free.gpus, free.memory = free.cpus-assignment.job.cpus, free.gpus-assignment.job.gpus, free.memory-assignment.job.memory
			}
		}
		checker.recentFree[worker] = append(checker.recentFree[worker], free)
		if len(checker.recentFree[worker]) < moments {
			continue
		}
		checker.recentFree[worker] = checker.recentFree[worker][len(checker.recentFree[worker])-moments:]
		for _, o := range checker.recentFree[worker] {
			free.cpus, free.gpus, free.memory = min(free.cpus, o.cpus), min(free.gpus, o.gpus), min(free.memory, o.memory)
		}
		list = append(list, free)
	}
	return list
}

// usedByTeam is what each team's tasks take, those included that fetch their image.
func (checker *Checker) usedByTeam() map[string][2]float64 {
	use := map[string][2]float64{}
	for _, worker := range checker.world.workers {
		if !worker.up {
			continue
		}
		for _, assignment := range worker.assignments {
			if assignment.phase != "exited" {
				usage := use[assignment.job.team]
				use[assignment.job.team] = [2]float64{usage[0] + assignment.job.cpus, usage[1] + assignment.job.gpus}
			}
		}
	}
	return use
}

// couldStart tells whether a job waits though its next task, or all those of a gang,
// could be started on these machine capacities.
func (checker *Checker) couldStart(job *jobRecord, capacities []freeCapacity, used map[string][2]float64) bool {
	held, inZone := map[int]bool{}, map[string]int{}
	for _, worker := range checker.world.workers {
		if !worker.up || worker.certainlyLost() {
			continue
		}
		for _, assignment := range worker.assignments {
			if assignment.job == job && assignment.phase != "exited" {
				held[assignment.index] = true
				inZone[worker.zone]++
			}
		}
	}
	need := 0
	for i := range job.taskCount {
		if !held[i] && !job.completed[i] && !job.alwaysFails(i) {
			need++
		}
	}
	if need == 0 || (job.shape == "gang" && need < job.taskCount) {
		return false
	}
	if job.shape != "gang" {
		need = 1
	}
	usage := used[job.team]
	for _, team := range checker.world.config.Settings.Teams {
		count := float64(need)
		if team.Name == job.team && ((team.CPUsMax > 0 && usage[0]+count*job.cpus > team.CPUsMax) || (team.GPUsMax > 0 && usage[1]+count*job.gpus > team.GPUsMax)) {
			return false
		}
	}
	inOne := map[string]int{}
	for _, free := range capacities {
		allowed := job.machineTypes == nil
		for _, f := range job.machineTypes {
			allowed = allowed || f == free.worker.machineType
		}
		if !allowed || (job.zone != "" && job.zone != free.worker.zone) || (free.worker.spot && !job.allowSpot) || (job.sameZone && len(inZone) > 0 && inZone[free.worker.zone] == 0) {
			continue
		}
		for placed := 0; placed < need && free.cpus >= job.cpus && free.gpus >= job.gpus && free.memory >= job.memory; placed++ {
			free.cpus, free.gpus, free.memory = free.cpus-job.cpus, free.gpus-job.gpus, free.memory-job.memory
			inOne[free.worker.zone]++
		}
	}
	sum := 0
	for zone, count := range inOne {
		if job.scatter {
			count = min(count, (job.taskCount+1)/2-inZone[zone])
		}
		if job.sameZone && count >= need {
			return true
		}
		sum += count
	}
	return !job.sameZone && sum >= need
}
