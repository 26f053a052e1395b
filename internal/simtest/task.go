package simtest

import (
	"fmt"
	"strings"
	"time"
)

type task struct {
	on      *worker
	job     *job
	name    string
	index   int
	attempt uint64
	phase   string
	cause   string
	stored  bool
	begun   time.Duration // of running, in time that the machine executed, for progress
	gen     int           // outdates scheduled events
}

func (t *task) onMachine() bool {
	return t.phase == "waiting" || t.phase == "running" || t.phase == "saving"
}

// start executes an order to start a task: it fetches the image, then runs it.
func (k *worker) start(o order) {
	k.changed = true
	i := strings.LastIndexByte(o.Task, '/')
	var index int
	_, _ = fmt.Sscan(o.Task[i+1:], &index)
	j := k.w.jobs[o.Task[:i]]
	t := &task{on: k, job: j, name: o.Task, index: index, attempt: o.Attempt, phase: "exited"}
	if old := k.tasks[o.Task]; old != nil {
		k.w.check.refused("in_use", o.Task)
		return // refused without a trace: the old attempt keeps its line
	}
	k.tasks[o.Task] = t
	if j == nil || index >= j.taskCount {
		t.cause = "unknown"
		return
	}
	if !k.hasCapacity(j) {
		t.cause = "full"
		k.w.check.refused("full", o.Task)
		return
	}
	t.phase = "pulling"
	wait := j.image
	if k.images[j.id] {
		wait = 0
	}
	k.w.later(t, wait, func() { k.runTask(t) })
}

// hasCapacity tells whether another task of a job fits on the machine.
func (k *worker) hasCapacity(j *job) bool {
	f := machineTypes[k.machineType]
	cpus, gpus, memory := f.cpus, f.gpus, f.memory
	for _, x := range k.tasks {
		if x.phase != "exited" {
			cpus -= x.job.cpus
			gpus -= x.job.gpus
			memory -= x.job.memory
		}
	}
	return j.cpus <= cpus+rounding && j.gpus <= gpus+rounding && j.memory <= memory+rounding
}

// rounding is what sums of resources may be off by.
const rounding = 1e-9

// runTask starts a task whose image is there.
func (k *worker) runTask(t *task) {
	j := t.job
	k.images[j.id] = true
	k.changed = true
	k.w.check.started(t)
	switch {
	case j.complete[t.index]:
		k.exit(t, "done", false)
	case j.shape == "gang":
		t.phase = "waiting"
		k.joinGang(t)
	case t.fails():
		t.phase = "running"
		k.failSoon(t)
	default:
		t.phase, t.begun = "running", k.executed()
		j.begin(k.w.now)
		if j.shape == "array" {
			k.completeLater(t)
		}
	}
}

// completeLater lets a task of an array run for the rest of its time.
func (k *worker) completeLater(t *task) {
	left := t.job.run - t.job.progress[t.index]
	if k.slow > 0 {
		left = time.Duration(float64(left) * k.slow)
	}
	k.w.later(t, left, func() {
		t.job.complete[t.index] = true
		k.exit(t, "done", false)
		k.w.ended(t.job)
	})
}

// failureDelay is how long a task that fails runs before it exits.
const failureDelay = 300 * time.Millisecond

// fails tells whether a task can only fail: because of its job or its machine.
func (t *task) fails() bool { return t.job.breaks(t.index) || t.on.faulty }

// failSoon lets a running task exit with an error.
func (k *worker) failSoon(t *task) {
	k.w.later(t, failureDelay, func() { k.exit(t, "error", false) })
}

// later runs f unless the task has changed state by then.
func (w *World) later(t *task, d time.Duration, f func()) {
	t.gen++
	gen := t.gen
	t.on.afterExecuting(max(d, 0), func() {
		if t.gen == gen && t.on.up && t.on.tasks[t.name] == t {
			f()
		}
	})
}

func (k *worker) exit(t *task, cause string, stored bool) {
	t.gen++
	t.phase, t.cause, t.stored = "exited", cause, stored
	k.changed = true
	if g := t.job.gangs[t.attempt]; g != nil && cause != "done" {
		k.w.leaveGang(t, g)
	}
}

// vanish removes a task without a trace.
func (k *worker) vanish(t *task) {
	t.gen++
	t.phase = "exited"
	if g := t.job; g != nil {
		if g := g.gangs[t.attempt]; g != nil {
			k.w.leaveGang(t, g)
		}
	}
}

func (k *worker) stop(t *task, wind time.Duration) {
	j := t.job
	k.changed = true
	if t.phase == "saving" {
		if wind == 0 {
			k.exit(t, "halted", false)
		}
		return
	}
	if t.phase != "running" || j.checkpointInterval == 0 || wind < j.checkpointDuration {
		k.exit(t, "halted", false)
		return
	}
	made := j.progress[t.index] + k.executed() - t.begun
	if j.shape == "gang" {
		g := j.gangs[t.attempt]
		if g.stopAt == 0 {
			g.stopAt = k.w.now
		}
		g.stopped[t.index] = true
		t.phase = "saving"
		k.w.later(t, j.checkpointDuration, func() {
			saved := len(g.stopped) == j.taskCount && !g.over
			if saved {
				j.progress[0] = made
			}
			k.exit(t, "halted", saved)
		})
		return
	}
	t.phase = "saving"
	k.w.later(t, j.checkpointDuration, func() {
		j.progress[t.index] = made
		k.exit(t, "halted", true)
	})
}
