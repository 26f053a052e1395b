package simtest

import "time"

type gang struct {
	tasks   map[int]*task
	started bool
	over    bool
	stopAt  time.Duration
	stopped map[int]bool
}

func (j *job) gangOf(t *task) *gang {
	if j == nil {
		return nil
	}
	return j.gangs[t.attempt]
}

func (g *gang) anyAwake() bool {
	for _, m := range g.tasks {
		if !m.on.hung {
			return true
		}
	}
	return false
}

func (k *worker) joinGang(t *task) {
	j := t.job
	g := j.gangs[t.attempt]
	if g == nil {
		g = &gang{tasks: map[int]*task{}, stopped: map[int]bool{}}
		j.gangs[t.attempt] = g
	}
	g.tasks[t.index] = t
	if !g.started && len(g.tasks) == j.taskCount {
		g.started = true
		failing := false
		for i := range j.taskCount {
			m := g.tasks[i]
			m.phase, m.begun = "running", m.on.executed()
			m.on.changed = true
			m.gen++
			if m.fails() {
				failing = true
				m.on.failSoon(m)
			}
		}
		if !failing {
			j.begin(k.w.now)
			k.w.endsAfter(j, g, j.run-j.progress[0])
		}
		return
	}
	k.w.later(t, seconds(k.w.cfg.Settings.Workers.GangWaitS), func() { k.exit(t, "incomplete", false) })
}

func (w *World) leaveGang(t *task, g *gang) {
	if g.tasks[t.index] == t {
		delete(g.tasks, t.index)
	}
	if !g.started || g.over {
		return
	}
	if t.cause == "halted" && t.stored {
		return
	}
	g.over = true
	w.after(seconds(w.cfg.Settings.Workers.GangPeerS), func() { w.endGang(t.job, g) })
}

// endGang lets the tasks of a gang that lost one exit, on a machine that hangs
// once it goes on.
func (w *World) endGang(j *job, g *gang) {
	for i := range j.taskCount {
		if m := g.tasks[i]; m != nil && m.onMachine() {
			m.on.whenAwake(func() {
				if m.onMachine() && m.on.tasks[m.name] == m {
					m.on.exit(m, "peers", false)
				}
			})
		}
	}
}

// endsAfter ends a gang that runs to its end, once all its machines go on.
func (w *World) endsAfter(j *job, g *gang, d time.Duration) {
	var end func()
	end = func() {
		if g.over || g.stopAt != 0 {
			return
		}
		for i := range j.taskCount {
			if m := g.tasks[i]; m != nil && m.on.hung {
				m.on.whenAwake(end)
				return
			}
		}
		g.over = true
		for i := range j.taskCount {
			j.complete[i] = true
		}
		for i := range j.taskCount {
			if m := g.tasks[i]; m != nil && m.phase == "running" {
				m.on.exit(m, "done", false)
			}
		}
		w.ended(j)
	}
	w.after(d, end)
}
