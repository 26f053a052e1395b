package simtest

import "time"

// gangRun is one attempt to run the tasks of a gang. They start running once all of them wait
// on their machines, and they end together.
type gangRun struct {
	job             *jobRecord
	world           *World
	members         map[int]*taskAssignment // tasks that have not left the gang, by index
	started         bool
	ended           bool          // it has finished, or has lost a task
	stopRequestedAt time.Duration // zero if no stop was requested
	stopped         map[int]bool  // tasks that stop with a checkpoint, by index
}

// gang returns the gang run that the assignment belongs to, or nil if there is none.
func (assignment *taskAssignment) gang() *gangRun {
	if assignment.job == nil {
		return nil
	}
	return assignment.job.gangs[assignment.attempt]
}

// addToGang adds the assignment to the gang run of its attempt, which it creates if needed.
func (assignment *taskAssignment) addToGang() *gangRun {
	gang := assignment.gang()
	if gang == nil {
		gang = &gangRun{job: assignment.job, world: assignment.worker.world, members: map[int]*taskAssignment{}, stopped: map[int]bool{}}
		assignment.job.gangs[assignment.attempt] = gang
	}
	gang.members[assignment.index] = assignment
	return gang
}

// joinGang adds a task to its gang. The last task to join starts the gang. The other tasks wait
// for it; they exit as incomplete if the gang has not started within gang_wait_s.
func (assignment *taskAssignment) joinGang() {
	gang := assignment.addToGang()
	if !gang.started && gang.isComplete() {
		gang.start()
		return
	}
	wait := seconds(gang.world.config.Settings.Workers.GangWaitS)
	assignment.after(wait, func() { assignment.worker.exitTask(assignment, causeIncomplete, false) })
}

// isComplete reports whether all tasks of the gang have joined.
func (gang *gangRun) isComplete() bool { return len(gang.members) == gang.job.taskCount }

// isRunning reports whether the gang has started, and has neither finished nor lost a task.
func (gang *gangRun) isRunning() bool { return gang.started && !gang.ended }

// hasResponsiveMember reports whether any task of the gang is on a machine that does not hang.
func (gang *gangRun) hasResponsiveMember() bool {
	for _, member := range gang.members {
		if !member.worker.hung {
			return true
		}
	}
	return false
}

// start starts all tasks of a complete gang.
func (gang *gangRun) start() {
	gang.started = true
	failing := false
	for i := range gang.job.taskCount {
		member := gang.members[i]
		member.phase, member.startedAt = taskRunning, member.worker.executionTime()
		member.worker.statusChanged = true
		member.generation++
		if member.fails() {
			failing = true
			member.worker.failSoon(member)
		}
	}
	if !failing {
		gang.job.recordStart(gang.world.now)
		gang.finishAfter(gang.job.runTime - gang.job.progress[0])
	}
}

// leave removes a task that has ended from the gang. If the gang was running, the other tasks
// are aborted after gang_peer_s, unless the task was stopped with a stored checkpoint.
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
	gang.ended = true
	gang.world.schedule(seconds(gang.world.config.Settings.Workers.GangPeerS), gang.abort)
}

// abort makes the remaining tasks of a gang that lost a task exit with causePeers. On a machine
// that hangs, a task exits when the machine resumes.
func (gang *gangRun) abort() {
	for i := range gang.job.taskCount {
		member := gang.members[i]
		if member == nil || !member.isExecuting() {
			continue
		}
		member.worker.whenResumed(func() {
			if member.isExecuting() && member.worker.assignments[member.name] == member {
				member.worker.exitTask(member, causePeers, false)
			}
		})
	}
}

// finishAfter schedules the end of a gang that runs to completion. The gang ends after the
// given duration, or later if one of its machines hangs then: see finish.
func (gang *gangRun) finishAfter(duration time.Duration) {
	gang.world.schedule(duration, gang.finish)
}

// finish completes all tasks of a gang whose run time has passed. While one of its machines
// hangs, the end waits until that machine resumes.
func (gang *gangRun) finish() {
	if gang.ended || gang.stopRequestedAt != 0 {
		return
	}
	for i := range gang.job.taskCount {
		if member := gang.members[i]; member != nil && member.worker.hung {
			member.worker.whenResumed(gang.finish)
			return
		}
	}
	gang.ended = true
	for i := range gang.job.taskCount {
		gang.job.completed[i] = true
	}
	for i := range gang.job.taskCount {
		if member := gang.members[i]; member != nil && member.phase == taskRunning {
			member.worker.exitTask(member, causeDone, false)
		}
	}
	gang.world.users.handleTaskCompleted(gang.job)
}
