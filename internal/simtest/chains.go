package simtest

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"
)

// awaited reads the jobs that a submission names: ids joined by "+", where
// req-000100*3000 stands for that many, counted up.
func awaited(text string) []string {
	var ids []string
	for _, part := range strings.Split(text, "+") {
		id, count, many := strings.Cut(part, "*")
		if !many {
			ids = append(ids, id)
			continue
		}
		first, err1 := strconv.Atoi(strings.TrimPrefix(id, "req-"))
		n, err2 := strconv.Atoi(count)
		if err1 != nil || err2 != nil {
			panic("no row of ids: " + part)
		}
		for i := range n {
			ids = append(ids, fmt.Sprintf("req-%06d", first+i))
		}
	}
	return ids
}

// await notes what a submission names. Once the job is accepted its list is
// what it was, whatever a retry says.
func (w *World) await(j *job, a Args) []string {
	text, ok := a["awaits"]
	if !ok {
		return nil
	}
	ids := awaited(text)
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
// cancel it and was not told that it is done.
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

// cancelledSince is when a user was first told that a job, or one that it needs, is
// cancelled.
func (c *Checker) cancelledSince(id string) (time.Duration, bool) {
	at, ok := c.cancelAt[id]
	for _, up := range c.w.needed(id) {
		if a, acknowledged := c.cancelAt[up]; acknowledged && (!ok || a < at) {
			at, ok = a, true
		}
	}
	return at, ok
}

// overdue tells whether a cancellation told then must be carried out by now.
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

// askOn repeats a request as users do, without anybody waiting for it; the last
// answer goes to w.answers.
func (w *World) askOn(id, key, method, path string, body []byte) {
	w.answers[key] = "none yet"
	end := w.now + userRetry
	w.insist(method, path, body, func(asked time.Duration, status int, phase string) bool {
		w.check.answered(asked, id, status, phase)
		if j := w.jobs[id]; j != nil && j.asked == 0 {
			j.asked = max(w.now, 1)
		}
		switch status {
		case 200, 201, 400, 404, 422:
			w.answers[key] = fmt.Sprintf("%d %s", status, phase)
			return true
		}
		if w.now >= end {
			w.answers[key] = fmt.Sprintf("%d gave up", status)
		}
		return false
	})
}

// submitOn and cancelOn ask without waiting for the answer.
func (w *World) submitOn(a Args) {
	body := w.Body(a)
	w.jobs[a["id"]].submitted = true
	w.askOn(a["id"], "submit "+a["id"], "POST", "/submissions", body)
}

func (w *World) cancelOn(id string) {
	w.check.asked[id] = true
	w.askOn(id, "cancel "+id, "POST", "/submissions/"+id+"/cancel", nil)
}

// settled waits until every request that was not waited for is answered.
func (w *World) settled(within time.Duration) bool {
	for end := w.now + within; w.now < end; w.Run(100 * time.Millisecond) {
		open := false
		for _, v := range w.answers {
			open = open || v == "none yet"
		}
		if !open {
			return true
		}
	}
	return false
}

// tally counts the last phase told of so many jobs from an id on, polling those
// that are not over until they are or the time has run out.
func (w *World) tally(a Args) string {
	first, n := int(a.num("from", "1")), int(a.num("count", "1"))
	end := w.now + a.dur("within", "0s")
	for {
		count := map[string]int{}
		open := 0
		for i := range n {
			id := fmt.Sprintf("req-%06d", first+i)
			if acknowledged := w.check.acknowledged[id]; acknowledged != "done" && acknowledged != "cancelled" {
				w.Poll(id)
			}
			acknowledged := w.check.acknowledged[id]
			if acknowledged != "done" && acknowledged != "cancelled" {
				open++
			}
			count[acknowledged]++
		}
		if open == 0 || w.now >= end {
			var parts []string
			for _, k := range slices.Sorted(maps.Keys(count)) {
				parts = append(parts, fmt.Sprintf("%s=%d", k, count[k]))
			}
			return strings.Join(parts, " ")
		}
		w.Run(time.Second)
	}
}

// meetings lets so many pairs meet, each a little later against the other: a
// job is cancelled and, from before to after it, one that needs it is
// submitted ("submit"), or a job is cancelled about when its last task ends,
// while another waits for it ("done"). It tells whether each pair ended alike.
func (w *World) meetings(a Args) string {
	first, n, step := int(a.num("from", "1")), int(a.num("count", "20")), a.dur("step", "10ms")
	id := func(i int) string { return fmt.Sprintf("req-%06d", i) }
	for i := range n {
		up, down := maps.Clone(a), maps.Clone(a)
		up["id"], down["id"], down["awaits"] = id(first+2*i), id(first+2*i+1), id(first+2*i)
		w.Submit(up)
		early := step * time.Duration(i-n/2)
		switch a.or("with", "submit") {
		case "submit":
			w.after(max(0, -early), func() { w.cancelOn(up["id"]) })
			w.after(max(0, early), func() { w.submitOn(down) })
		case "done":
			w.Submit(down)
			u := w.jobs[up["id"]]
			var watch func()
			watch = func() {
				if u.began == 0 {
					w.after(tickEvery, watch)
					return
				}
				w.after(max(0, u.began+u.run-w.now+early), func() { w.cancelOn(up["id"]) })
			}
			watch()
		default:
			panic("meet what? " + a["with"])
		}
	}
	w.Run(step*time.Duration(n) + time.Second)
	if !w.settled(2 * userRetry) {
		return "not all are answered"
	}
	ends := map[string]int{}
	for end := w.now + a.dur("within", "120s"); ; w.Run(time.Second) {
		clear(ends)
		for i := range 2 * n {
			if acknowledged := w.check.acknowledged[id(first+i)]; acknowledged != "done" && acknowledged != "cancelled" {
				w.Poll(id(first + i))
			}
		}
		for i := range n {
			ends[w.check.acknowledged[id(first+2*i)]+"/"+w.check.acknowledged[id(first+2*i+1)]]++
		}
		if ends["done/done"]+ends["cancelled/cancelled"] == n {
			if a.flag("both") && (ends["done/done"] == 0 || ends["cancelled/cancelled"] == 0) {
				return fmt.Sprintf("alike, but all one way: %v", ends)
			}
			return "alike"
		}
		if w.now >= end {
			return fmt.Sprint(ends)
		}
	}
}

// old adds jobs that were over long ago, as the state service keeps them.
func (w *World) old(a Args) {
	for i := range int(a.num("count", "1")) {
		id := fmt.Sprintf("req-%06d", int(a.num("from", "1"))+i)
		w.Body(Args{"id": id})
		j := w.jobs[id]
		j.submitted = true
		phase := a.or("phase", "done")
		if phase == "done" {
			j.complete[0] = true
		} else {
			w.check.asked[id] = true
		}
		w.check.acknowledged[id] = phase
		w.store("f/"+id, fmt.Sprintf(`{"p":%q,"n":1}`, phase))
	}
	w.state.wake()
}

// store puts a record as it is.
func (w *World) store(key, data string) {
	w.state.revision++
	w.state.keys[key] = stateKey{data: json.RawMessage(data), version: w.state.revision}
	w.state.log = append(w.state.log, stateChange{Write: key, Data: json.RawMessage(data), Version: w.state.revision})
}

// doChain carries out the commands that belong to chains and to a change of
// version and limits.
func (w *World) doChain(cmd string, a Args, input string) string {
	switch cmd {
	case "send":
		// One request, its awaits as the input has them.
		var o object
		_ = json.Unmarshal(w.Body(a), &o)
		o["awaits"] = json.RawMessage(strings.TrimSpace(input))
		b, _ := json.Marshal(o)
		n := w.entryNode()
		if name, ok := a["node"]; ok {
			n = w.pick(name)[0]
		}
		asked := w.now
		status, v := w.ask(n, "POST", "/submissions", b)
		phase, _ := v["phase"].(string)
		if status == 200 || status == 201 {
			w.jobs[a["id"]].submitted = true
		}
		w.check.answered(asked, a["id"], status, phase)
		return strings.TrimSpace(fmt.Sprintf("%d %s", status, phase))
	case "begin":
		// A request that nobody waits for.
		switch {
		case a.flag("cancel"):
			w.cancelOn(a["id"])
		case a.flag("once"):
			// Its user gives up.
			body := w.Body(a)
			w.jobs[a["id"]].submitted = true
			w.request("user", w.entryNode(), "POST", "/submissions", body, 5*time.Second, func(int, []byte) {})
		default:
			w.submitOn(a)
		}
	case "answer":
		// What came of it.
		w.settled(a.dur("within", "70s"))
		got := w.answers[a["of"]+" "+a["id"]]
		if status, _, _ := strings.Cut(got, " "); a.flag("accepted") && (status == "200" || status == "201") {
			return "accepted"
		}
		return got
	case "accept":
		// A submission that is accepted at the first attempt or at a later one.
		if status, phase := w.Submit(a); status != 200 && status != 201 {
			return fmt.Sprintf("%d %s", status, phase)
		}
		return "accepted"
	case "line":
		// Jobs that each need the one before.
		for i := range int(a.num("count", "2")) {
			one := maps.Clone(a)
			n := int(a.num("from", "1")) + i
			if one["id"] = fmt.Sprintf("req-%06d", n); i > 0 {
				one["awaits"] = fmt.Sprintf("req-%06d", n-1)
			}
			if status, phase := w.Submit(one); status != 200 && status != 201 {
				return fmt.Sprintf("%d %s", status, phase)
			}
		}
		return "accepted"
	case "race":
		return w.meetings(a)
	case "tally":
		return w.tally(a)
	case "finished_jobs":
		w.old(a)
	case "via":
		// From here on users ask this controller.
		w.users = w.pick(a["node"])[0]
	case "owner":
		// Which controller a job belongs to.
		var r struct {
			Owner string `json:"o"`
		}
		_ = json.Unmarshal(w.state.keys["j/"+a["id"]].data, &r)
		return r.Owner
	case "order":
		// Which of two jobs began first.
		first, second := w.jobs[a["id"]], w.jobs[a["before"]]
		switch {
		case first.began == 0 || second.began == 0:
			return "not both have begun"
		case first.began < second.began:
			return "before"
		}
		return "not before"
	case "limits":
		w.state.lower(a)
	case "lag":
		// The next transactions that write such a key get no answer and are
		// carried out later.
		w.state.lagKey, w.state.lagFor, w.state.lagged = a["key"], a.dur("for", "8s"), int(a.num("count", "1"))
	case "oversized_writes":
		return strconv.Itoa(w.state.tooLarge)
	case "load":
		if err := w.Load(a["file"]); err != nil {
			return err.Error()
		}
	default:
		return w.doFailures(cmd, a)
	}
	return "ok"
}
