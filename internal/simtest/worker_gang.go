package simtest

import "time"

type gangRun struct {
	tasks           map[int]*taskAssignment
	started         bool
	over            bool
	stopRequestedAt time.Duration
	stopped         map[int]bool
}

func (job *jobRecord) gangOf(assignment *taskAssignment) *gangRun {
	if job == nil {
		return nil
	}
	return job.gangs[assignment.attempt]
}

func (gang *gangRun) anyResponsive() bool {
	for _, assignment := range gang.tasks {
		if !assignment.worker.hung {
			return true
		}
	}
	return false
}

func (worker *fakeWorker) joinGang(assignment *taskAssignment) {
	job := assignment.job
	gang := job.gangs[assignment.attempt]
	if gang == nil {
		gang = &gangRun{tasks: map[int]*taskAssignment{}, stopped: map[int]bool{}}
		job.gangs[assignment.attempt] = gang
	}
	gang.tasks[assignment.index] = assignment
	if !gang.started && len(gang.tasks) == job.taskCount {
		gang.started = true
		failing := false
		for i := range job.taskCount {
			member := gang.tasks[i]
			member.phase, member.startedAt = taskRunning, member.worker.executionTime()
			member.worker.changed = true
			member.generation++
			if member.fails() {
				failing = true
				member.worker.failSoon(member)
			}
		}
		if !failing {
			job.markStarted(worker.world.now)
			worker.world.finishGangAfter(job, gang, job.runTime-job.progress[0])
		}
		return
	}
	worker.world.scheduleFor(assignment, seconds(worker.world.config.Settings.Workers.GangWaitS), func() { worker.exitTask(assignment, causeIncomplete, false) })
}

func (world *World) leaveGang(assignment *taskAssignment, gang *gangRun) {
	if gang.tasks[assignment.index] == assignment {
		delete(gang.tasks, assignment.index)
	}
	if !gang.started || gang.over {
		return
	}
	if assignment.cause == causeStopped && assignment.checkpointStored {
		return
	}
	gang.over = true
	world.schedule(seconds(world.config.Settings.Workers.GangPeerS), func() { world.abortGang(assignment.job, gang) })
}

// abortGang lets the tasks of a gang that lost one exit, on a machine that hangs
// once it goes on.
func (world *World) abortGang(job *jobRecord, gang *gangRun) {
	for i := range job.taskCount {
		if assignment := gang.tasks[i]; assignment != nil && assignment.onMachine() {
			assignment.worker.whenResumed(func() {
				if assignment.onMachine() && assignment.worker.assignments[assignment.name] == assignment {
					assignment.worker.exitTask(assignment, causePeers, false)
				}
			})
		}
	}
}

// finishGangAfter ends a gang that runs to its end, once all its machines go on.
func (world *World) finishGangAfter(job *jobRecord, gang *gangRun, duration time.Duration) {
	var end func()
	end = func() {
		if gang.over || gang.stopRequestedAt != 0 {
			return
		}
		for i := range job.taskCount {
			if assignment := gang.tasks[i]; assignment != nil && assignment.worker.hung {
				assignment.worker.whenResumed(end)
				return
			}
		}
		gang.over = true
		for i := range job.taskCount {
			job.completed[i] = true
		}
		for i := range job.taskCount {
			if assignment := gang.tasks[i]; assignment != nil && assignment.phase == taskRunning {
				assignment.worker.exitTask(assignment, causeDone, false)
			}
		}
		world.users.taskCompleted(job)
	}
	world.schedule(duration, end)
}
