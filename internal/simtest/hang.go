package simtest

import "time"

// hangState is what a machine's hangs have done to it. While it hangs nothing
// on it executes, but its lease runs on: if it goes on later than that, it kills
// its tasks before anything else.
type hangState struct {
	hung     bool
	hungFrom time.Duration
	hungTo   time.Duration
	hungSum  time.Duration // of the hangs that are over
	onWake   []func()      // what happens once it goes on, in order
}

// heartbeatAnswerTimeout is how long a worker waits for the answer to a report.
const answerTimeout = 4 * time.Second

// hang lets the machine be paused for that long.
func (k *worker) hang(d time.Duration) {
	k.hungTo = max(k.hungTo, k.w.now+d)
	if k.hung || !k.up {
		return
	}
	k.hung, k.hungFrom = true, k.w.now
	k.w.after(d, k.wake)
	// The rest of a running gang notices, unless the machine is back by then or
	// there is no rest that executes.
	since := k.hungFrom
	for _, t := range k.sorted() {
		g := t.job.gangOf(t)
		if g == nil {
			continue
		}
		k.w.after(seconds(k.w.cfg.Settings.Workers.GangPeerS), func() {
			if k.hung && k.hungFrom == since && g.started && !g.over && g.tasks[t.index] == t && g.anyAwake() {
				g.over = true
				k.w.endGang(t.job, g)
			}
		})
	}
}

func (k *worker) wake() {
	if !k.up || !k.hung {
		return
	}
	if k.w.now < k.hungTo {
		k.w.after(k.hungTo-k.w.now, k.wake)
		return
	}
	k.hung = false
	k.hungSum += k.w.now - k.hungFrom
	k.endLease()
	k.w.check.resumed(k)
	list := k.onWake
	k.onWake = nil
	for _, f := range list {
		if k.up {
			f()
		}
	}
}

// endLease kills the tasks and begins a session if the lease has run out.
func (k *worker) endLease() {
	if !k.leaseOver() {
		return
	}
	k.killAll()
	k.session++
	k.leaseFrom = k.w.now
	k.changed = true
}

// leaseOver tells whether the last answered report was sent too long ago.
func (k *worker) leaseOver() bool {
	return k.w.now-k.leaseFrom > seconds(k.w.cfg.Settings.Workers.LeaseS)
}

// certainlyLost tells whether the tasks are certain not to go on: the machine hangs
// and has outlived its lease.
func (k *worker) certainlyLost() bool { return k.hung && k.leaseOver() }

// whenAwake runs f at once, or when the machine goes on.
func (k *worker) whenAwake(f func()) {
	if k.hung {
		k.onWake = append(k.onWake, f)
		return
	}
	f()
}

// executed is for how long the machine has not hung.
func (k *worker) executed() time.Duration {
	if k.hung {
		return k.hungFrom - k.hungSum
	}
	return k.w.now - k.hungSum
}

// afterExecuting runs f once the machine has executed for d.
func (k *worker) afterExecuting(d time.Duration, f func()) {
	target := k.executed() + d
	var check func()
	check = func() {
		switch left := target - k.executed(); {
		case k.hung:
			k.whenAwake(check)
		case left > 0:
			k.w.after(left, check)
		default:
			f()
		}
	}
	k.w.after(d, check)
}

// resumed checks the tasks of a machine that resumes: one whose cancellation is
// overdue breaks the rules, however soon it is stopped after that.
func (c *Checker) resumed(k *worker) {
	for _, t := range k.sorted() {
		if at, ok := c.cancelledSince(t.job.idOf()); ok && t.onMachine() && c.overdue(at) {
			c.broken("ran_cancelled: %s goes on on %s", t.name, k.name)
		}
	}
}
