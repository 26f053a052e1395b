package simtest

import (
	"slices"
)

// recordInstance records that a task is on a machine.
func (checker *Checker) recordInstance(assignment *taskAssignment) {
	checker.instances[assignment.name] = append(checker.instances[assignment.name], assignment)
}

// checkSingleInstance checks that a starting task executes on no other machine.
func (checker *Checker) checkSingleInstance(assignment *taskAssignment) {
	checker.instances[assignment.name] = slices.DeleteFunc(checker.instances[assignment.name], func(other *taskAssignment) bool {
		return !other.worker.up || other.worker.assignments[other.name] != other || other.phase == taskExited
	})
	for _, other := range checker.instances[assignment.name] {
		if other.isExecuting() && !other.worker.hungPastLease() {
			checker.reportViolation("task executes on two machines: task %s starts on %s, but still executes on %s", assignment.name, assignment.worker.name, other.worker.name)
		}
	}
	checker.recordInstance(assignment)
}

// limitTolerance is the rounding error by which a sum may exceed a limit.
const limitTolerance = 1e-6

// checkTeamLimit checks that the team of a starting task stays within its limit. It skips tasks
// that request none of the limited resources.
func (checker *Checker) checkTeamLimit(assignment *taskAssignment) {
	for _, team := range checker.world.config.Settings.Teams {
		limited := (team.CPUsMax > 0 && assignment.job.cpus > 0) || (team.GPUsMax > 0 && assignment.job.gpus > 0)
		if team.Name != assignment.job.team || !limited {
			continue
		}
		cpus, gpus := assignment.job.cpus, assignment.job.gpus
		checker.forEachExecuting(func(other *taskAssignment) {
			if other != assignment && other.job.team == assignment.job.team {
				cpus += other.job.cpus
				gpus += other.job.gpus
			}
		})
		overCPUs := team.CPUsMax > 0 && cpus > team.CPUsMax+limitTolerance
		overGPUs := team.GPUsMax > 0 && gpus > team.GPUsMax+limitTolerance
		if overCPUs || overGPUs {
			checker.reportViolation("team limit exceeded: team %s uses %v CPUs and %v GPUs, limits are %v and %v (0 means unlimited)",
				team.Name, cpus, gpus, team.CPUsMax, team.GPUsMax)
		}
	}
}

// checkStart checks the invariants of a task that starts after its image was pulled.
func (checker *Checker) checkStart(assignment *taskAssignment) {
	checker.starts++
	assignment.job.startedAttempts++
	checker.checkSingleInstance(assignment)
	checker.checkTeamLimit(assignment)
	checker.checkPlacement(assignment)
	checker.checkUpstreamDone(assignment)
	checker.checkCancelledStart(assignment)
}

// checkPlacement checks that a task starts on a machine and in a zone allowed by its job.
func (checker *Checker) checkPlacement(assignment *taskAssignment) {
	job, worker := assignment.job, assignment.worker
	inZone := map[string]int{worker.zone: 1}
	if job.sameZone || job.scatter {
		checker.forEachExecuting(func(other *taskAssignment) {
			if other.job == job && other.index != assignment.index {
				inZone[other.worker.zone]++
			}
		})
	}
	splitOverZones := job.sameZone && len(inZone) > 1
	crowdedInZone := job.scatter && inZone[worker.zone] > job.maxTasksPerZone()
	if !job.allows(worker) || splitOverZones || crowdedInZone {
		checker.reportViolation("placement constraint violated: task %s attempt %d starts on %s (%s, zone %s, spot %v), tasks by zone %v, "+
			"job wants same zone %v, scatter %v, allows spot %v, tasks %d",
			assignment.name, assignment.attempt, worker.name, worker.machineType, worker.zone, worker.spot, inZone,
			job.sameZone, job.scatter, job.allowSpot, job.taskCount)
	}
}
