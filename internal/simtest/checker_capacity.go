package simtest

import (
	"sort"
	"time"
)

// maxWaitBesideCapacity is how long a job may be left waiting beside a machine that fits
// and has capacity, with its team under its limit, once all troubles are over.
const maxWaitBesideCapacity = 90 * time.Second

// capacityWaits is what the check for jobs that wait beside capacity remembers.
type capacityWaits struct {
	waitingSince map[string]time.Duration       // since when a job waits beside capacity for it
	writeCounts  []int                          // number of writes at the last checks
	recentFree   map[*fakeWorker][]freeCapacity // what was free on machines at the last checks
}

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
		mustStart := phase != jobDone && job != nil && !checker.cancelRequested(id) && !checker.waitsForUpstream(id) && job.canSucceed()
		if !mustStart || !checker.couldStart(job, capacities, used) {
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

// writesExhausted reports whether lately as much was written as a service may
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
	worker *fakeWorker
	resources
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
		if !worker.isHealthy() || checker.world.network.isUnreachable(worker) {
			delete(checker.recentFree, worker)
			continue
		}
		free := freeCapacity{worker, machineTypes[worker.machineType].resources}
		for _, assignment := range worker.assignments {
			if assignment.phase != taskExited {
				free.resources = free.minus(assignment.job.resources)
			}
		}
		checker.recentFree[worker] = append(checker.recentFree[worker], free)
		if len(checker.recentFree[worker]) < moments {
			continue
		}
		checker.recentFree[worker] = checker.recentFree[worker][len(checker.recentFree[worker])-moments:]
		for _, earlier := range checker.recentFree[worker] {
			free.resources = free.atMost(earlier.resources)
		}
		list = append(list, free)
	}
	return list
}

// teamUsage is what the tasks of a team take.
type teamUsage struct{ cpus, gpus float64 }

// usedByTeam is what each team's tasks take, those included that fetch their image.
func (checker *Checker) usedByTeam() map[string]teamUsage {
	used := map[string]teamUsage{}
	for _, worker := range checker.world.workers {
		if !worker.up {
			continue
		}
		for _, assignment := range worker.assignments {
			if assignment.phase != taskExited {
				team := assignment.job.team
				used[team] = teamUsage{used[team].cpus + assignment.job.cpus, used[team].gpus + assignment.job.gpus}
			}
		}
	}
	return used
}

// couldStart reports whether a job waits though its next task, or all those of a gang,
// could be started on these machine capacities.
func (checker *Checker) couldStart(job *jobRecord, capacities []freeCapacity, used map[string]teamUsage) bool {
	onMachine, inZone := checker.tasksOnMachines(job)
	missing := 0
	for i := range job.taskCount {
		if !onMachine[i] && !job.completed[i] && !job.alwaysFails(i) {
			missing++
		}
	}
	isGang := job.shape == shapeGang
	if missing == 0 || (isGang && missing < job.taskCount) {
		return false
	}
	needed := 1
	if isGang {
		needed = missing
	}
	if !checker.withinLimit(job, needed, used[job.team]) {
		return false
	}
	return job.fitsInZones(needed, inZone, job.placeableByZone(needed, inZone, capacities))
}

// tasksOnMachines tells which tasks of a job are on machines that may execute, those
// included that fetch their image, and how many of them are in each zone.
func (checker *Checker) tasksOnMachines(job *jobRecord) (indices map[int]bool, inZone map[string]int) {
	indices, inZone = map[int]bool{}, map[string]int{}
	for _, worker := range checker.world.workers {
		if !worker.up || worker.certainlyLost() {
			continue
		}
		for _, assignment := range worker.assignments {
			if assignment.job == job && assignment.phase != taskExited {
				indices[assignment.index] = true
				inZone[worker.zone]++
			}
		}
	}
	return indices, inZone
}

// withinLimit reports whether so many more tasks of a job leave its team within its limit.
func (checker *Checker) withinLimit(job *jobRecord, tasks int, used teamUsage) bool {
	count := float64(tasks)
	for _, team := range checker.world.config.Settings.Teams {
		if team.Name != job.team {
			continue
		}
		overCPUs := team.CPUsMax > 0 && used.cpus+count*job.cpus > team.CPUsMax
		overGPUs := team.GPUsMax > 0 && used.gpus+count*job.gpus > team.GPUsMax
		if overCPUs || overGPUs {
			return false
		}
	}
	return true
}

// placeableByZone counts, by zone, how many tasks of the job could be placed, on each machine
// at most as many as are needed. inZone are the tasks that are on machines already.
func (job *jobRecord) placeableByZone(needed int, inZone map[string]int, capacities []freeCapacity) map[string]int {
	placeable := map[string]int{}
	for _, free := range capacities {
		zone := free.worker.zone
		otherZone := job.sameZone && len(inZone) > 0 && inZone[zone] == 0
		if !job.allows(free.worker) || otherZone {
			continue
		}
		for placed := 0; placed < needed && free.covers(job.resources); placed++ {
			free.resources = free.minus(job.resources)
			placeable[zone]++
		}
	}
	return placeable
}

// fitsInZones reports whether the tasks that could be placed in each zone are enough, under
// what the job demands of zones.
func (job *jobRecord) fitsInZones(needed int, inZone, placeable map[string]int) bool {
	sum := 0
	for zone, count := range placeable {
		if job.scatter {
			count = min(count, job.maxTasksPerZone()-inZone[zone])
		}
		if job.sameZone && count >= needed {
			return true
		}
		sum += count
	}
	return !job.sameZone && sum >= needed
}
