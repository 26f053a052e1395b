package simtest

import "time"

// hangState is the state of a machine that may hang. While a machine hangs, nothing executes on
// it, but its lease keeps running. If it resumes after the lease has expired, it kills its tasks
// before it does anything else.
type hangState struct {
	hung      bool
	hungSince time.Duration
	hungUntil time.Duration
	totalHung time.Duration // total duration of the past hangs
	onResume  []func()      // actions to run when the machine resumes, in this order
}

// hang makes the machine hang for a duration. A hang that is in progress is extended if needed.
func (worker *fakeWorker) hang(duration time.Duration) {
	worker.hungUntil = max(worker.hungUntil, worker.world.now+duration)
	if worker.hung || !worker.up {
		return
	}
	worker.hung, worker.hungSince = true, worker.world.now
	worker.world.schedule(duration, worker.resumeAfterHang)
	// The other tasks of a running gang lose their peer after gang_peer_s, unless the machine
	// has resumed by then or all machines of the gang hang.
	since := worker.hungSince
	for _, assignment := range worker.sortedAssignments() {
		gang := assignment.gang()
		if gang == nil {
			continue
		}
		worker.world.schedule(seconds(worker.world.config.Settings.Workers.GangPeerS), func() {
			stillHung := worker.hung && worker.hungSince == since
			if stillHung && gang.isRunning() && gang.members[assignment.index] == assignment && gang.hasResponsiveMember() {
				gang.ended = true
				gang.abort()
			}
		})
	}
}

// resumeAfterHang ends a hang, or waits on if the hang was extended.
func (worker *fakeWorker) resumeAfterHang() {
	if !worker.up || !worker.hung {
		return
	}
	if worker.world.now < worker.hungUntil {
		worker.world.schedule(worker.hungUntil-worker.world.now, worker.resumeAfterHang)
		return
	}
	worker.hung = false
	worker.totalHung += worker.world.now - worker.hungSince
	worker.expireLease()
	worker.world.checker.checkResumedMachine(worker)
	actions := worker.onResume
	worker.onResume = nil
	for _, action := range actions {
		if worker.up {
			action()
		}
	}
}

// hungPastLease reports whether the machine hangs and its lease has expired. Its tasks will not
// continue: the worker kills them when the machine resumes.
func (worker *fakeWorker) hungPastLease() bool { return worker.hung && worker.leaseExpired() }

// whenResumed runs an action immediately, or on resume if the machine hangs.
func (worker *fakeWorker) whenResumed(action func()) {
	if worker.hung {
		worker.onResume = append(worker.onResume, action)
		return
	}
	action()
}

// executionTime returns the virtual time without the time during which the machine hung.
func (worker *fakeWorker) executionTime() time.Duration {
	if worker.hung {
		return worker.hungSince - worker.totalHung
	}
	return worker.world.now - worker.totalHung
}

// afterExecuting runs an action after the machine has executed for a duration. Time during
// which it hangs does not count.
func (worker *fakeWorker) afterExecuting(duration time.Duration, action func()) {
	target := worker.executionTime() + duration
	var check func()
	check = func() {
		switch remaining := target - worker.executionTime(); {
		case worker.hung:
			worker.whenResumed(check)
		case remaining > 0:
			worker.world.schedule(remaining, check)
		default:
			action()
		}
	}
	worker.world.schedule(duration, check)
}
