package simtest

import (
	"sort"
	"time"
)

// maxPlaceableTime is how long a job may stay unassigned once all faults are over,
// while suitable machines have free capacity and its team is below its limit.
const maxPlaceableTime = 90 * time.Second

// placeableJobs is the state of the check for jobs that are placeable but not assigned.
type placeableJobs struct {
	placeableSince map[string]time.Duration       // since when a job has been placeable without being assigned, by job ID
	writeCounts    []int                          // total writes to the state service at the last checks
	recentFree     map[*fakeWorker][]freeCapacity // free capacity of machines at the last checks
}

// checkPlaceableJobs records since when each job has been placeable without being
// assigned, and reports the jobs for which that lasts too long.
func (checker *Checker) checkPlaceableJobs() {
	if checker.faultsOverAt == 0 {
		return
	}
	if checker.writeRateExhausted() {
		// Assignments are delayed by the write rate limit of the state service, which
		// counts as a fault that has not ended.
		clear(checker.placeableSince)
	}
	capacities, used := checker.freeCapacities(), checker.usedByTeam()
	for id, phase := range checker.acknowledgedPhase {
		job := checker.world.jobs[id]
		mustStart := phase != jobDone && job != nil && !checker.cancelRequested(id) && !checker.waitsForUpstream(id) && job.canSucceed()
		if !mustStart || !checker.isPlaceable(job, capacities, used) {
			delete(checker.placeableSince, id)
			continue
		}
		if _, ok := checker.placeableSince[id]; !ok {
			checker.placeableSince[id] = checker.world.now
		}
	}
	var ids []string
	for id, since := range checker.placeableSince {
		if checker.world.now-since > maxPlaceableTime {
			ids = append(ids, id)
		}
	}
	sort.Strings(ids)
	for _, id := range ids {
		checker.reportViolation("placeable job not started: job %s unassigned for %s with free capacity for it, want at most %s",
			id, checker.world.now-checker.placeableSince[id], maxPlaceableTime)
		checker.placeableSince[id] = checker.world.now
	}
}

// writeRateExhausted reports whether the writes within the last capacityWindow exceed the
// share of the write rate that controllers may use. They leave the rest of the rate for
// writes in flight.
func (checker *Checker) writeRateExhausted() bool {
	const samples, maxShare = int(capacityWindow / invariantCheckInterval), 0.75
	checker.writeCounts = append(checker.writeCounts, checker.world.stateService.writtenKeys)
	if len(checker.writeCounts) <= samples {
		return false
	}
	checker.writeCounts = checker.writeCounts[len(checker.writeCounts)-samples-1:]
	return float64(checker.writeCounts[samples]-checker.writeCounts[0]) > maxShare*checker.world.config.Settings.State.WriteRPS*capacityWindow.Seconds()
}

// freeCapacity is the unused capacity of a machine.
type freeCapacity struct {
	worker *fakeWorker
	resources
}

// capacityWindow is how long capacity must have been free to count as free. Capacity that
// is freed and assigned again within that time shows that the queue makes progress.
const capacityWindow = 5 * time.Second

// maxReportedTasks is the number of tasks whose statuses fit in a heartbeat, whose body may have
// at most 64 KiB. A machine with so many tasks has no capacity for another one.
const maxReportedTasks = 500

// freeCapacities returns the capacity that has been free throughout capacityWindow on each
// healthy machine that all controllers can reach.
func (checker *Checker) freeCapacities() []freeCapacity {
	const samples = int(capacityWindow / invariantCheckInterval)
	var list []freeCapacity
	for _, worker := range checker.world.sortedWorkers() {
		full := len(worker.assignments) >= maxReportedTasks
		if !worker.isHealthy() || full || checker.world.network.isUnreachable(worker) {
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
		if len(checker.recentFree[worker]) < samples {
			continue
		}
		checker.recentFree[worker] = checker.recentFree[worker][len(checker.recentFree[worker])-samples:]
		for _, earlier := range checker.recentFree[worker] {
			free.resources = free.atMost(earlier.resources)
		}
		list = append(list, free)
	}
	return list
}

// teamUsage is the sum of the resources of a team's tasks.
type teamUsage struct{ cpus, gpus float64 }

// usedByTeam returns the usage of each team, including tasks that are pulling their image.
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

// isPlaceable reports whether a job has unassigned tasks and the next one of them, or all
// tasks of a gang, fit into the given capacities and the team's limit.
func (checker *Checker) isPlaceable(job *jobRecord, capacities []freeCapacity, used map[string]teamUsage) bool {
	onMachine, inZone := checker.assignedTasks(job)
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

// assignedTasks returns the indices of a job's tasks on machines that may execute,
// including tasks that are pulling their image, and the number of them in each zone.
func (checker *Checker) assignedTasks(job *jobRecord) (indices map[int]bool, inZone map[string]int) {
	indices, inZone = map[int]bool{}, map[string]int{}
	for _, worker := range checker.world.workers {
		if !worker.up || worker.hungPastLease() {
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

// withinLimit reports whether a job's team stays within its limit with the given number of
// additional tasks of the job.
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

// placeableByZone returns, by zone, how many tasks of the job could be placed, at most needed
// on each machine. inZone is the number of tasks that are already on machines, by zone.
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

// fitsInZones reports whether the needed tasks can be placed under the zone constraints of
// the job. placeable is the number of tasks that could be placed, by zone.
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
