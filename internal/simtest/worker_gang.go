package simtest

import "time"

// gangRun is an attempt of a gang: its tasks run from when all are there, and end together.
type gangRun struct {
	job             *jobRecord
	world           *World
	members         map[int]*taskAssignment // those that have not left, by index
	started         bool
	over            bool
	stopRequestedAt time.Duration // 0: it was not
	stopped         map[int]bool  // tasks that were told to stop, by index
}

// gang is the run of a gang that the assignment takes part in, nil if it does not.
func (assignment *taskAssignment) gang() *gangRun {
	if assignment.job == nil {
		return nil
	}
	return assignment.job.gangs[assignment.attempt]
}

// addToGang makes the assignment a part of its attempt of the gang.
func (assignment *taskAssignment) addToGang() *gangRun {
	gang := assignment.gang()
	if gang == nil {
		gang = &gangRun{job: assignment.job, world: assignment.worker.world, members: map[int]*taskAssignment{}, stopped: map[int]bool{}}
		assignment.job.gangs[assignment.attempt] = gang
	}
	gang.members[assignment.index] = assignment
	return gang
}

// joinGang lets a task wait for the others of its gang; with the last one they all start.
func (assignment *taskAssignment) joinGang() {
	gang := assignment.addToGang()
	if !gang.started && gang.isComplete() {
		gang.start()
		return
	}
	wait := seconds(gang.world.config.Settings.Workers.GangWaitS)
	assignment.after(wait, func() { assignment.worker.exitTask(assignment, causeIncomplete, false) })
}

// isComplete reports whether all tasks of the gang are there.
func (gang *gangRun) isComplete() bool { return len(gang.members) == gang.job.taskCount }

// isRunning reports whether the gang has started and lost no task yet.
func (gang *gangRun) isRunning() bool { return gang.started && !gang.over }

// anyResponsive reports whether a task of the gang is on a machine that does not hang.
func (gang *gangRun) anyResponsive() bool {
	for _, member := range gang.members {
		if !member.worker.hung {
			return true
		}
	}
	return false
}

// start lets all tasks of a complete gang run.
func (gang *gangRun) start() {
	gang.started = true
	failing := false
	for i := range gang.job.taskCount {
		member := gang.members[i]
		member.phase, member.startedAt = taskRunning, member.worker.executionTime()
		member.worker.changed = true
		member.generation++
		if member.fails() {
			failing = true
			member.worker.failSoon(member)
		}
	}
	if !failing {
		gang.job.markStarted(gang.world.now)
		gang.finishAfter(gang.job.runTime - gang.job.progress[0])
	}
}

// leave is called when a task of the gang ends. The others notice, unless the gang was
// stopped with a checkpoint.
func (gang *gangRun) leave(assignment *taskAssignment) {
	if gang.members[assignment.index] == assignment {
		delete(gang.members, assignment.index)
	}
	if !gang.isRunning() {
		return
	}
	if assignment.cause == causeStopped && assignment.checkpointStored {
		return
	}
	gang.over = true
	gang.world.schedule(seconds(gang.world.config.Settings.Workers.GangPeerS), gang.abort)
}

// abort lets the tasks of a gang that lost one exit, on a machine that hangs once it goes on.
func (gang *gangRun) abort() {
	for i := range gang.job.taskCount {
		member := gang.members[i]
		if member == nil || !member.onMachine() {
			continue
		}
		member.worker.whenResumed(func() {
			if member.onMachine() && member.worker.assignments[member.name] == member {
				member.worker.exitTask(member, causePeers, false)
			}
		})
	}
}

// finishAfter ends a gang that runs to its end after so long, once all its machines go on.
func (gang *gangRun) finishAfter(duration time.Duration) {
	gang.world.schedule(duration, gang.finish)
}

// finish ends a gang that has run for its whole time.
func (gang *gangRun) finish() {
	if gang.over || gang.stopRequestedAt != 0 {
		return
	}
	for i := range gang.job.taskCount {
		if member := gang.members[i]; member != nil && member.worker.hung {
			member.worker.whenResumed(gang.finish)
			return
		}
	}
	gang.over = true
	for i := range gang.job.taskCount {
		gang.job.completed[i] = true
	}
	for i := range gang.job.taskCount {
		if member := gang.members[i]; member != nil && member.phase == taskRunning {
			member.worker.exitTask(member, causeDone, false)
		}
	}
	gang.world.users.taskCompleted(gang.job)
}
