package simtest

import (
	"fmt"
	"slices"
	"sort"
	"strings"
	"time"
)

// Checker watches the rules of the protocol. It knows nothing of the service's
// own records: only what workers do and what is answered to users. The one
// exception are done marks, without which no job that needs another may start.
type Checker struct {
	w              *World
	Broken         []string
	acknowledged   map[string]string        // last phase answered, per job
	cancelAt       map[string]time.Duration // when the cancellation was acknowledged
	asked          map[string]bool          // cancellations asked for
	starts         int
	refusals       map[string]int
	faultsOverAt   time.Duration            // when the last fault ended, 0: not yet
	answeredAt     map[string]time.Duration // when a request about a job was last answered
	releasedAt     map[string]time.Duration // when all was done that a job needs
	acknowledgedAt map[string]time.Duration // when the last phase was first answered
	instances      map[string][]*task       // by name, the attempts that have started and may be on machines
	unanswered     int                      // reports of workers that got no answer
	after          int                      // starts after a confirmed cancellation
	beside         map[string]time.Duration // since when a job waits beside capacity for it
	wrote          []int                    // number of writes at the last moments
	free           map[*worker][]capacity   // what was free on machines lately
}

func newChecker(w *World) *Checker {
	return &Checker{w: w, acknowledged: map[string]string{}, cancelAt: map[string]time.Duration{}, asked: map[string]bool{}, refusals: map[string]int{}, answeredAt: map[string]time.Duration{},
		releasedAt: map[string]time.Duration{}, acknowledgedAt: map[string]time.Duration{}, beside: map[string]time.Duration{}, free: map[*worker][]capacity{},
		instances: map[string][]*task{}}
}

func (c *Checker) broken(f string, a ...any) {
	c.Broken = append(c.Broken, fmt.Sprintf("%.2fs ", c.w.now.Seconds())+fmt.Sprintf(f, a...))
}

func (c *Checker) refused(cause, _ string) { c.refusals[cause]++ }

// eachOnMachine calls f for every task that is on a machine, in any order.
func (c *Checker) eachOnMachine(f func(t *task)) {
	for _, k := range c.w.workers {
		if len(k.tasks) == 0 || !k.up || k.certainlyLost() {
			continue
		}
		for _, t := range k.tasks {
			if t.onMachine() {
				f(t)
			}
		}
	}
}

// onMachines lists every task that is on a machine, sorted by name and machine.
func (c *Checker) onMachines() []*task {
	var list []*task
	c.eachOnMachine(func(t *task) { list = append(list, t) })
	sort.Slice(list, func(a, b int) bool {
		return list[a].name < list[b].name || (list[a].name == list[b].name && list[a].on.name < list[b].on.name)
	})
	return list
}

// noteOnMachine notes that a task is on a machine.
func (c *Checker) noteOnMachine(t *task) {
	c.instances[t.name] = append(c.instances[t.name], t)
}

// checkTwice checks that a task that starts is on no other machine.
func (c *Checker) checkTwice(t *task) {
	c.instances[t.name] = slices.DeleteFunc(c.instances[t.name], func(o *task) bool {
		return !o.on.up || o.on.tasks[o.name] != o || o.phase == "exited"
	})
	for _, o := range c.instances[t.name] {
		if o.onMachine() && !o.on.certainlyLost() {
			c.broken("ran_twice: %s starts on %s while on %s", t.name, t.on.name, o.on.name)
		}
	}
	c.noteOnMachine(t)
}

// checkQuota checks the limit of a starting task's team, where the task takes of
// what is limited.
func (c *Checker) checkQuota(t *task) {
	for _, team := range c.w.cfg.Settings.Teams {
		limited := (team.CPUsMax > 0 && t.job.cpus > 0) || (team.GPUsMax > 0 && t.job.gpus > 0)
		if team.Name != t.job.team || !limited {
			continue
		}
		cpus, gpus := t.job.cpus, t.job.gpus
		c.eachOnMachine(func(o *task) {
			if o != t && o.job.team == t.job.team {
				cpus += o.job.cpus
				gpus += o.job.gpus
			}
		})
		if (team.CPUsMax > 0 && cpus > team.CPUsMax+1e-6) || (team.GPUsMax > 0 && gpus > team.GPUsMax+1e-6) {
			c.broken("quota: team %s uses %v CPUs, %v GPUs", team.Name, cpus, gpus)
		}
	}
}

// started is called when a task has its image and starts.
func (c *Checker) started(t *task) {
	c.starts++
	t.job.attempts++
	j, k := t.job, t.on
	c.checkTwice(t)
	inZone := map[string]int{k.zone: 1}
	if j.sameZone || j.scatter {
		c.eachOnMachine(func(o *task) {
			if o.job == j && o.index != t.index {
				inZone[o.on.zone]++
			}
		})
	}
	c.checkQuota(t)
	allowed := j.machineTypes == nil
	for _, f := range j.machineTypes {
		allowed = allowed || f == k.machineType
	}
	if !allowed || (j.zone != "" && j.zone != k.zone) || (k.spot && !j.allowSpot) || (j.sameZone && len(inZone) > 1) ||
		(j.scatter && inZone[k.zone] > (j.taskCount+1)/2) {
		c.broken("wrong_place: %s attempt %d on %s (%s, %s, spot %v), zones %v, job same zone %v scatter %v spot %v of %d", t.name, t.attempt, k.name, k.machineType,
			k.zone, k.spot, inZone, j.sameZone, j.scatter, j.allowSpot, j.taskCount)
	}
	c.early(t)
	if at, ok := c.cancelledSince(j.id); ok {
		c.after++
		if c.overdue(at) {
			c.broken("ran_cancelled: %s starts", t.name)
		}
	}
}

// stopped is called when a worker executes a stop: it counts for a task that was
// not being stopped yet and whose job is neither finished nor cancelled.
func (c *Checker) stopped(t *task) {
	if t.job != nil && t.phase != "saving" && len(t.job.complete) < t.job.taskCount && !c.cancelRequested(t.job.id) {
		t.job.stopped++
	}
}

// moment checks what must hold at any time.
func (c *Checker) moment() {
	c.noteReleased()
	c.eachOnMachine(func(t *task) {
		if at, ok := c.cancelledSince(t.job.id); ok && c.overdue(at) {
			c.broken("ran_cancelled: %s on %s", t.name, t.on.name)
		}
	})
	c.checkWaitsBesideCapacity()
}

// answered checks the answer to a user's request that was sent at that time: a
// request that was in flight when another was answered may show an older state.
func (c *Checker) answered(asked time.Duration, id string, status int, phase string) {
	j := c.w.jobs[id]
	older := c.acknowledged[id] != "" && asked < c.acknowledgedAt[id]
	known := c.acknowledged[id] != ""
	switch {
	case status == 200 || status == 201:
		if j == nil || !j.submitted {
			c.broken("invented: %s answered %q", id, phase)
			return
		}
		if j.mustRefuse != 0 {
			c.broken("accepted: %s answered %d, to be refused with %d", id, status, j.mustRefuse)
		}
		last := c.acknowledged[id]
		if older && (last == "done" || last == "cancelled") && phase != "done" && phase != "cancelled" {
			return
		}
		if (last == "done" || last == "cancelled") && phase != last {
			c.broken("went_back: %s was %s, is %s", id, last, phase)
		}
		if phase == "cancelled" && !c.cancelRequested(id) {
			c.broken("went_back: %s cancelled by nobody", id)
		}
		if phase == "done" && len(j.complete) < j.taskCount {
			c.broken("not_done: %s has %d of %d tasks", id, len(j.complete), j.taskCount)
		}
		c.chained(id, status, phase)
		if phase == "cancelled" && last != phase {
			c.cancelAt[id] = c.w.now
		}
		if last != phase {
			c.acknowledgedAt[id] = c.w.now
		}
		c.acknowledged[id] = phase
	case known && !older && (status == 404 || status == 400 || status == 422):
		c.broken("forgotten: %s answered %d", id, status)
	}
}

// forgottenAfter is how long a job may go without an answer once all faults
// are over, however others fare.
const forgottenAfter = 75 * time.Second

// polled notes whether a request about an accepted job was answered.
func (c *Checker) polled(id string, status int) {
	if _, ok := c.answeredAt[id]; status == 200 || !ok {
		c.answeredAt[id] = c.w.now
	}
	if c.acknowledged[id] == "" || c.cancelRequested(id) || c.faultsOverAt == 0 {
		return
	}
	if since := max(c.answeredAt[id], c.faultsOverAt); c.w.now-since > forgottenAfter {
		c.broken("forgotten: %s without an answer for %s", id, c.w.now-since)
	}
}

// largestWithin is how soon the largest jobs of a class must begin.
const largestWithin = 4 * time.Minute

// served checks that at least half of each class, of each team and of each
// class's largest jobs ran, the largest within their time.
func (c *Checker) served() string {
	type part struct{ all, ran int }
	parts := map[string]*part{}
	add := func(name string, ran bool) {
		p := parts[name]
		if p == nil {
			p = &part{}
			parts[name] = p
		}
		if p.all++; ran {
			p.ran++
		}
	}
	largest := map[string]int{}
	for _, j := range c.w.jobs {
		largest[j.class] = max(largest[j.class], j.taskCount)
	}
	for id, j := range c.w.jobs {
		if c.acknowledged[id] == "" || c.cancelRequested(id) || c.held(id) {
			continue
		}
		add("class "+j.class, j.began != 0)
		add("team "+j.team, j.began != 0)
		if j.taskCount == largest[j.class] {
			add("largest of "+j.class, j.began != 0 && j.began-max(j.asked, c.releasedAt[id]) <= largestWithin)
		}
	}
	var short []string
	for name, p := range parts {
		if 2*p.ran < p.all {
			short = append(short, fmt.Sprintf("%s: %d of %d", name, p.ran, p.all))
		}
	}
	if len(short) == 0 {
		return "served"
	}
	sort.Strings(short)
	c.broken("not served: %s", strings.Join(short, ", "))
	return strings.Join(short, "\n")
}
