package simtest

import "time"

// hangState is what a machine's hangs have done to it. While it hangs nothing
// on it executes, but its lease runs on: if it goes on later than that, it kills
// its tasks before anything else.
type hangState struct {
	hung      bool
	hungSince time.Duration
	hungUntil time.Duration
	totalHung time.Duration // of the hangs that are over
	onResume  []func()      // what happens once it goes on, in order
}

// hang lets the machine be paused for that long.
func (worker *fakeWorker) hang(duration time.Duration) {
	worker.hungUntil = max(worker.hungUntil, worker.world.now+duration)
	if worker.hung || !worker.up {
		return
	}
	worker.hung, worker.hungSince = true, worker.world.now
	worker.world.schedule(duration, worker.resumeAfterHang)
	// The rest of a running gang notices, unless the machine is back by then or
	// there is no rest that executes.
	since := worker.hungSince
	for _, assignment := range worker.sortedAssignments() {
		gang := assignment.gang()
		if gang == nil {
			continue
		}
		worker.world.schedule(seconds(worker.world.config.Settings.Workers.GangPeerS), func() {
			stillHung := worker.hung && worker.hungSince == since
			if stillHung && gang.isRunning() && gang.members[assignment.index] == assignment && gang.anyResponsive() {
				gang.over = true
				gang.abort()
			}
		})
	}
}

// resumeAfterHang ends a hang, unless another one lasts for longer.
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
	worker.world.checker.checkResumed(worker)
	actions := worker.onResume
	worker.onResume = nil
	for _, action := range actions {
		if worker.up {
			action()
		}
	}
}

// certainlyLost reports whether the tasks are certain not to go on: the machine hangs
// and has outlived its lease.
func (worker *fakeWorker) certainlyLost() bool { return worker.hung && worker.leaseExpired() }

// whenResumed runs an action at once, or when the machine goes on.
func (worker *fakeWorker) whenResumed(action func()) {
	if worker.hung {
		worker.onResume = append(worker.onResume, action)
		return
	}
	action()
}

// executionTime is for how long the machine has not hung.
func (worker *fakeWorker) executionTime() time.Duration {
	if worker.hung {
		return worker.hungSince - worker.totalHung
	}
	return worker.world.now - worker.totalHung
}

// afterExecuting runs an action once the machine has executed for so long.
func (worker *fakeWorker) afterExecuting(duration time.Duration, action func()) {
	target := worker.executionTime() + duration
	var check func()
	check = func() {
		switch left := target - worker.executionTime(); {
		case worker.hung:
			worker.whenResumed(check)
		case left > 0:
			worker.world.schedule(left, check)
		default:
			action()
		}
	}
	worker.world.schedule(duration, check)
}
