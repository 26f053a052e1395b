package simtest

import (
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// parseJobIDs reads job IDs joined by "+", where req-000100*3000 stands for that
// many, counted up.
func parseJobIDs(text string) ([]string, error) {
	var ids []string
	for _, part := range strings.Split(text, "+") {
		id, count, many := strings.Cut(part, "*")
		if !many {
			ids = append(ids, id)
			continue
		}
		first, err := strconv.Atoi(strings.TrimPrefix(id, "req-"))
		if err != nil {
			return nil, fmt.Errorf("%s is not req- and a number", id)
		}
		n, err := strconv.Atoi(count)
		if err != nil {
			return nil, fmt.Errorf("%s is not a number of jobs", count)
		}
		for i := range n {
			ids = append(ids, jobID(first+i))
		}
	}
	return ids, nil
}

// await notes the upstream jobs that a submission names. Once the job is
// accepted its list is what it was, whatever a retry says.
func (w *World) await(j *job, a Args) []string {
	text, ok := a["awaits"]
	if !ok {
		return nil
	}
	ids, err := parseJobIDs(text)
	if err != nil {
		w.fault("%s: %v", j.id, err)
		return nil
	}
	if w.check.acknowledged[j.id] == "" {
		j.awaits = ids
	}
	return ids
}

// needed lists all jobs that a job needs, directly or through others, each
// once.
func (w *World) needed(id string) []string {
	j := w.jobs[id]
	if j == nil || len(j.awaits) == 0 {
		return nil
	}
	seen := map[string]bool{id: true}
	var list []string
	todo := slices.Clone(j.awaits)
	for len(todo) > 0 {
		up := todo[len(todo)-1]
		todo = todo[:len(todo)-1]
		if seen[up] {
			continue
		}
		seen[up] = true
		list = append(list, up)
		if u := w.jobs[up]; u != nil {
			todo = append(todo, u.awaits...)
		}
	}
	slices.Sort(list)
	return list
}

// markedDone tells whether the state service holds a job's done mark.
func (w *World) markedDone(id string) bool {
	var f struct {
		Phase string `json:"p"`
	}
	_ = json.Unmarshal(w.state.keys["f/"+id].data, &f)
	return f.Phase == "done"
}

// waitsFor names a job that a job needs and that is not done yet, or "".
func (c *Checker) waitsFor(id string) (up, why string) {
	for _, up := range c.w.needed(id) {
		u := c.w.jobs[up]
		switch {
		case u == nil || len(u.complete) < u.taskCount:
			return up, "all its tasks are complete"
		case !c.w.markedDone(up):
			return up, "it is marked done"
		}
	}
	return "", ""
}

// held tells whether a job waits for others, or would for ever.
func (c *Checker) held(id string) bool {
	up, _ := c.waitsFor(id)
	return up != ""
}

// noteReleased notes when jobs cease to be held: other times count from then.
func (c *Checker) noteReleased() {
	for id, j := range c.w.jobs {
		if _, ok := c.releasedAt[id]; !ok && len(j.awaits) > 0 && !c.held(id) {
			c.releasedAt[id] = c.w.now
		}
	}
}

// early checks that all that a task's job needs is done when it starts.
func (c *Checker) early(t *task) {
	if up, why := c.waitsFor(t.job.id); up != "" {
		c.broken("too_early: %s starts on %s, needs %s, before %s", t.name, t.on.name, up, why)
	}
}

// cancelRequested tells whether the user of a job, or of one that it needs, asked to
// cancel it and was not answered that it is done.
func (c *Checker) cancelRequested(id string) bool {
	if c.asked[id] {
		return true
	}
	for _, up := range c.w.needed(id) {
		if c.asked[up] && c.acknowledged[up] != "done" {
			return true
		}
	}
	return false
}

// cancelledSince is when the cancellation of a job, or of one that it needs, was
// first acknowledged.
func (c *Checker) cancelledSince(id string) (time.Duration, bool) {
	at, ok := c.cancelAt[id]
	for _, up := range c.w.needed(id) {
		if a, acknowledged := c.cancelAt[up]; acknowledged && (!ok || a < at) {
			at, ok = a, true
		}
	}
	return at, ok
}

// overdue tells whether a cancellation acknowledged then must be complete by now.
func (c *Checker) overdue(at time.Duration) bool {
	return c.w.now-at > seconds(c.w.cfg.Settings.Workers.CancelS)
}

// chained checks an answer against the jobs that its job needs.
func (c *Checker) chained(id string, status int, phase string) {
	j := c.w.jobs[id]
	if status == 201 {
		for _, up := range j.awaits {
			u := c.w.jobs[up]
			if up == id || u == nil || !u.submitted || u.shape == "daemon" {
				c.broken("taken: %s is accepted though it awaits %s", id, up)
			}
		}
	}
	if status == 200 && (phase == "queued" || phase == "running") {
		for _, up := range c.w.needed(id) {
			if at, ok := c.cancelAt[up]; ok && c.overdue(at) {
				c.broken("orphaned: %s called %s %s after %s was cancelled", id, phase, c.w.now-at, up)
				break
			}
		}
	}
	if phase != "done" || c.acknowledged[id] == "done" || !c.asked[id] {
		return
	}
	// The cancellation lost: what needs the job goes on.
	var ids []string
	for o, acknowledged := range c.acknowledged {
		if acknowledged == "cancelled" && !c.asked[o] {
			ids = append(ids, o)
		}
	}
	slices.Sort(ids)
	for _, o := range ids {
		if needs := c.w.needed(o); slices.Contains(needs, id) && !slices.ContainsFunc(needs, func(up string) bool {
			return up != id && c.asked[up] && c.acknowledged[up] != "done"
		}) {
			c.broken("went_back: %s cancelled by nobody, as %s is done", o, id)
		}
	}
}
