package simtest

import (
	"fmt"
	"sort"
	"time"
)

// Checker watches the rules of the protocol. It knows nothing of the service's
// own records: only what workers do and what users are told.
type Checker struct {
	w        *World
	Broken   []string
	told     map[string]string        // last phase told, per job
	cancelAt map[string]time.Duration // when the cancellation was told
	asked    map[string]bool          // cancellations asked for
	starts   int
	refusals map[string]int
}

func newChecker(w *World) *Checker {
	return &Checker{w: w, told: map[string]string{}, cancelAt: map[string]time.Duration{}, asked: map[string]bool{}, refusals: map[string]int{}}
}

func (c *Checker) broken(f string, a ...any) {
	c.Broken = append(c.Broken, fmt.Sprintf("%.2fs ", c.w.now.Seconds())+fmt.Sprintf(f, a...))
}

func (c *Checker) refused(cause, _ string) { c.refusals[cause]++ }

// onMachines lists every task that is on a machine.
func (c *Checker) onMachines() []*task {
	var list []*task
	for _, k := range c.w.workers {
		if !k.up {
			continue
		}
		for _, t := range k.tasks {
			if t.onMachine() {
				list = append(list, t)
			}
		}
	}
	sort.Slice(list, func(a, b int) bool {
		return list[a].shard < list[b].shard || (list[a].shard == list[b].shard && list[a].on.name < list[b].on.name)
	})
	return list
}

// started is called when a task has its image and starts.
func (c *Checker) started(t *task) {
	c.starts++
	j, k := t.job, t.on
	inZone := map[string]int{k.zone: 1}
	use := map[string][2]float64{}
	add := func(o *task) {
		u := use[o.job.team]
		use[o.job.team] = [2]float64{u[0] + o.job.cores, u[1] + o.job.cards}
	}
	add(t)
	for _, o := range c.onMachines() {
		if o == t {
			continue
		}
		add(o)
		if o.shard == t.shard {
			c.broken("ran_twice: %s starts on %s while on %s", t.shard, k.name, o.on.name)
		}
		if o.job == j && o.shard != t.shard {
			inZone[o.on.zone]++
		}
	}
	for _, team := range c.w.cfg.Settings.Teams {
		u := use[team.Name]
		if team.Name == j.team && ((team.CoresMax > 0 && u[0] > team.CoresMax+1e-6) || (team.CardsMax > 0 && u[1] > team.CardsMax+1e-6)) {
			c.broken("quota: team %s uses %v", team.Name, u)
		}
	}
	allowed := j.flavors == nil
	for _, f := range j.flavors {
		allowed = allowed || f == k.flavor
	}
	if !allowed || (j.yard != "" && j.yard != k.zone) || (k.spot && !j.loaners) || (j.same && len(inZone) > 1) ||
		(j.scatter && inZone[k.zone] > (j.n+1)/2) {
		c.broken("wrong_place: %s try %d on %s (%s, %s, spot %v), zones %v, job same %v scatter %v loaners %v of %d", t.shard, t.try, k.name, k.flavor,
			k.zone, k.spot, inZone, j.same, j.scatter, j.loaners, j.n)
	}
	if at, ok := c.cancelAt[j.id]; ok && c.w.now-at > seconds(c.w.cfg.Settings.Workers.CancelS) {
		c.broken("ran_cancelled: %s starts", t.shard)
	}
}

// moment checks what must hold at any time.
func (c *Checker) moment() {
	for _, t := range c.onMachines() {
		if at, ok := c.cancelAt[t.job.id]; ok && c.w.now-at > seconds(c.w.cfg.Settings.Workers.CancelS) {
			c.broken("ran_cancelled: %s on %s", t.shard, t.on.name)
		}
	}
}

// answered checks what a user was told.
func (c *Checker) answered(id string, status int, phase string) {
	j := c.w.jobs[id]
	known := c.told[id] != ""
	switch {
	case status == 200 || status == 201:
		if j == nil || !j.submitted {
			c.broken("invented: %s answered %q", id, phase)
			return
		}
		last := c.told[id]
		if (last == "done" || last == "cancelled") && phase != last {
			c.broken("went_back: %s was %s, is %s", id, last, phase)
		}
		if phase == "cancelled" && !c.asked[id] {
			c.broken("went_back: %s cancelled by nobody", id)
		}
		if phase == "done" && len(j.complete) < j.n {
			c.broken("not_done: %s has %d of %d tasks", id, len(j.complete), j.n)
		}
		if phase == "cancelled" && last != phase {
			c.cancelAt[id] = c.w.now
		}
		c.told[id] = phase
	case known && (status == 404 || status == 400 || status == 422):
		c.broken("forgotten: %s answered %d", id, status)
	}
}
