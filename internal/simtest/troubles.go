package simtest

import (
	"encoding/json"
	"fmt"
	"sort"
	"strconv"
	"strings"
	"time"

	"lugward/internal/event"
)

// troubles are those of the network and of users that last for a while, each
// as the share of what it befalls.
type troubles struct {
	lateWrites      float64       // transactions that get no answer and are carried out late
	heldReports     float64       // reports that arrive seconds late, maybe elsewhere
	heldCommands    float64       // direct commands that arrive, or whose answers arrive, seconds late
	slowState       time.Duration // within which the state service answers
	cancelEnds      float64       // jobs that end that are cancelled at that moment
	invalidRequests bool          // users ask odd things
	invalidIDs      int
	troubleTo       time.Duration // when the last trouble that was brought ends
}

const (
	minDelay = 2 * time.Second
	maxDelay = 12 * time.Second
)

func (w *World) between(least, most time.Duration) time.Duration {
	return least + time.Duration(w.rng.Int64N(int64(most-least)))
}

func (w *World) befalls(share float64) bool { return share > 0 && w.rng.Float64() < share }

// lateWrite lets a transaction go unanswered and be carried out late, judged by
// its conditions then. In an outage it waits in the service for its end.
func (n *node) lateWrite(c event.Call) bool {
	w := n.w
	if c.Path != "/commit" || n.denied || w.state.down || w.cut[[2]string{n.name, "state"}] || !w.befalls(w.lateWrites) {
		return false
	}
	var do func()
	do = func() {
		if w.state.down {
			w.after(100*time.Millisecond, do)
			return
		}
		w.state.expire()
		w.state.commit(c.Body)
	}
	w.after(w.between(minDelay, maxDelay), do)
	return true
}

// heldUp sends a packet after it was held up for that long.
func (w *World) heldUp(d time.Duration, from, to string, do func()) {
	if d == 0 {
		w.send(from, to, do)
		return
	}
	w.after(d, func() { w.send(from, to, do) })
}

// heldCommand draws for how long a call and its answer are held up.
func (w *World) heldCommand(to string) (there, back time.Duration) {
	if to == "state" && w.slowState > 0 {
		return 0, w.between(0, w.slowState)
	}
	if to == "state" || to == "cloud" || !w.befalls(w.heldCommands) {
		return 0, 0
	}
	if w.rng.IntN(2) == 0 {
		return w.between(time.Second, maxDelay), 0
	}
	return 0, w.between(time.Second, maxDelay)
}

// heldReport draws where a report arrives, and for how long it and its answer
// are held up: the worker may have given it up by then.
func (w *World) heldReport(n *node, path string) (to *node, there, back time.Duration) {
	if path != "/hello" || !w.befalls(w.heldReports) {
		return n, 0, 0
	}
	switch w.rng.IntN(4) {
	case 0:
		return n, 0, w.between(time.Second, maxDelay/2)
	case 1:
		return n, w.between(500*time.Millisecond, answerTimeout), 0
	case 2:
		return n, w.between(minDelay, maxDelay), 0
	}
	lease := seconds(w.cfg.Settings.Workers.LeaseS)
	return w.nodes[w.rng.IntN(len(w.nodes))], w.between(minDelay, 2*lease), 0
}

// unreachable tells whether some controller and the machine can't talk.
func (w *World) unreachable(k *worker) bool {
	for _, n := range w.nodes {
		for _, p := range [][2]string{{n.name, k.name}, {k.name, n.name}} {
			if w.cut[p] || w.lost[p] {
				return true
			}
		}
	}
	return false
}

// insist sends a user's request again until its answer counts, while the world
// goes on.
func (w *World) insist(method, path string, body []byte, take func(asked time.Duration, status int, phase string) bool) {
	end := w.now + userRetry
	var attempt func()
	attempt = func() {
		asked := w.now
		w.request("user", w.entryNode(), method, path, body, 5*time.Second, func(status int, b []byte) {
			var v struct {
				Phase string `json:"phase"`
			}
			_ = json.Unmarshal(b, &v)
			if !take(asked, status, v.Phase) && w.now < end {
				w.after(time.Second, attempt)
			}
		})
	}
	attempt()
}

// cancelSoon cancels a job while the world goes on.
func (w *World) cancelSoon(id string) {
	w.check.asked[id] = true
	w.insist("POST", "/submissions/"+id+"/cancel", nil, func(asked time.Duration, status int, phase string) bool {
		w.check.answered(asked, id, status, phase)
		return status == 200 || status == 404
	})
}

// runningJobs lists the accepted jobs that have a task on a machine and that
// nobody cancelled.
func (w *World) runningJobs() []string {
	var ids []string
	seen := map[string]bool{}
	for _, t := range w.check.onMachines() {
		if id := t.job.id; !seen[id] && w.check.acknowledged[id] != "" && !w.check.asked[id] {
			seen[id] = true
			ids = append(ids, id)
		}
	}
	return ids
}

// cancelNow cancels so many running jobs within a fifth of a second, and lets
// up to eight of their machines hang for d.
func (w *World) cancelNow(count int, d time.Duration) []string {
	ids := w.runningJobs()
	w.rng.Shuffle(len(ids), func(a, b int) { ids[a], ids[b] = ids[b], ids[a] })
	ids = ids[:min(count, len(ids))]
	for _, id := range ids {
		w.check.asked[id] = true
		w.after(w.between(0, 200*time.Millisecond), func() { w.cancelSoon(id) })
	}
	if d > 0 {
		hung := map[*worker]bool{}
		for _, t := range w.check.onMachines() {
			for _, id := range ids {
				if t.job.id == id && len(hung) < 8 && !hung[t.on] {
					hung[t.on] = true
					k := t.on
					w.after(w.between(0, 400*time.Millisecond), func() { k.hang(d) })
				}
			}
		}
	}
	return ids
}

// ended is called when a task completes: the last one's job may be cancelled,
// asked about and submitted again at that very moment.
func (w *World) ended(j *job) {
	if len(j.complete) < j.taskCount || w.check.asked[j.id] || !w.befalls(w.cancelEnds) {
		return
	}
	w.check.asked[j.id] = true
	w.after(w.between(0, time.Second), func() { w.cancelSoon(j.id) })
	w.after(w.between(0, time.Second), func() { w.repeat(j.id) })
	w.after(w.between(0, time.Second), func() { w.askOnce(j.id) })
}

func (w *World) askOnce(id string) {
	w.insist("GET", "/submissions/"+id, nil, func(asked time.Duration, status int, phase string) bool {
		w.check.answered(asked, id, status, phase)
		return true
	})
}

// repeat submits a known job again: it is never accepted anew.
func (w *World) repeat(id string) {
	j := w.jobs[id]
	if j.body == nil || w.check.acknowledged[id] == "" {
		return
	}
	w.insist("POST", "/submissions", j.body, func(asked time.Duration, status int, phase string) bool {
		if status == 201 {
			w.check.broken("accepted: %s once more, it was %s", id, w.check.acknowledged[id])
		}
		w.check.answered(asked, id, status, phase)
		return status == 200
	})
}

// sendInvalidRequests lets users ask odd things until it is over.
func (w *World) sendInvalidRequests() {
	if !w.invalidRequests {
		return
	}
	w.after(w.between(200*time.Millisecond, 2*time.Second), w.sendInvalidRequests)
	var open, done []string
	for id, phase := range w.check.acknowledged {
		switch phase {
		case "done":
			done = append(done, id)
		case "queued", "running":
			open = append(open, id)
		}
	}
	sort.Strings(open)
	sort.Strings(done)
	switch w.rng.IntN(5) {
	case 0:
		if len(open) > 0 {
			w.repeat(open[w.rng.IntN(len(open))])
		}
	case 1:
		if len(done) > 0 {
			w.cancelSoon(done[w.rng.IntN(len(done))])
		}
	case 2:
		w.askUnknown()
	case 3:
		w.submitImpossible()
	case 4:
		w.submitIncomplete()
	}
}

func (w *World) invalidID() string {
	w.invalidIDs++
	return fmt.Sprintf("req-9%06d", w.invalidIDs)
}

// askUnknown asks about and cancels a job that nobody submitted.
func (w *World) askUnknown() {
	id := w.invalidID()
	for _, r := range [][2]string{{"GET", ""}, {"POST", "/cancel"}} {
		w.insist(r[0], "/submissions/"+id+r[1], nil, func(asked time.Duration, status int, phase string) bool {
			w.check.answered(asked, id, status, phase)
			w.check.refusedWith(id, 404, status)
			return status == 404
		})
	}
}

// submitImpossible submits a job that no machine or no limit fits.
func (w *World) submitImpossible() {
	a := Args{"id": w.invalidID()}
	switch w.rng.IntN(4) {
	case 0:
		a["cpus"] = "17"
	case 1:
		a["team"] = "green"
	case 2:
		a["shape"], a["tasks"], a["gpus"] = "gang", "3", "4"
	case 3:
		a["types"], a["gpus"] = "small", "1"
	}
	w.refuse(a["id"], w.Body(a), 422)
}

// submitIncomplete submits a job without one of its fields.
func (w *World) submitIncomplete() {
	a := Args{"id": w.invalidID()}
	var o map[string]any
	_ = json.Unmarshal(w.Body(a), &o)
	var fields []string
	for f := range o {
		if f != "flavors" && f != "yard" && f != "due_s" {
			fields = append(fields, f)
		}
	}
	sort.Strings(fields)
	delete(o, fields[w.rng.IntN(len(fields))])
	body, _ := json.Marshal(o)
	w.refuse(a["id"], body, 400)
}

func (w *World) refuse(id string, body []byte, want int) {
	j := w.jobs[id]
	j.submitted, j.never = true, want
	w.insist("POST", "/submissions", body, func(asked time.Duration, status int, phase string) bool {
		w.check.answered(asked, id, status, phase)
		w.check.refusedWith(id, want, status)
		return status == want
	})
}

// refusedWith checks how an odd request was refused: rightly, or, where the
// node cannot decide it yet, not yet.
func (c *Checker) refusedWith(id string, want, status int) {
	undecided := status == 0 || status == 503 || status == 429 || status == 504
	if status != want && !(undecided && !(want == 400 && status == 503)) {
		c.broken("refused wrongly: %s answered %d for %d", id, status, want)
	}
}

// churn changes the leader so many times within that time, in all the ways
// that a leader can go.
func (w *World) churn(times int, over time.Duration, how string) {
	each := over / time.Duration(times)
	for i := range times {
		w.after(time.Duration(i)*each, func() {
			l := w.Leader()
			if l == nil || !l.up {
				return
			}
			way := how
			if way == "" {
				way = []string{"kill", "kill", "deny", "isolate", "pause"}[w.rng.IntN(5)]
			}
			long := each * 3 / 4
			switch way {
			case "kill":
				l.kill()
				w.after(w.between(50*time.Millisecond, long/2), func() {
					if !l.up {
						l.boot()
					}
				})
			case "deny":
				w.denyFor(l, long)
			case "isolate":
				w.isolateFor(l, long)
			case "pause":
				if !l.paused {
					l.pause(long, w.rng.IntN(2) == 0)
				}
			}
		})
	}
}

func (w *World) denyFor(n *node, d time.Duration) {
	n.denied = true
	w.after(d, func() { n.denied = false })
}

func (w *World) isolateFor(n *node, d time.Duration) {
	w.isolate(n, true)
	w.after(d, func() { w.isolate(n, false) })
}

// blockReportsFor lets a machine reach no controller.
func (w *World) blockReportsFor(k *worker, d time.Duration) {
	k.reportsBlocked = true
	w.after(d, func() { k.reportsBlocked = false })
}

// trouble carries out the commands of a scenario that bring troubles, and those
// that show what came of them.
func (w *World) trouble(cmd string, a Args) string {
	switch cmd {
	case "late_writes":
		w.lateWrites = a.num("share", "0")
	case "delay_reports":
		w.heldReports = a.num("share", "0")
	case "delay_commands":
		w.heldCommands = a.num("share", "0")
	case "cancel_at_end":
		w.cancelEnds = a.num("share", "0")
	case "cancel_soon":
		w.cancelSoon(a["id"])
	case "cancel_now":
		return strconv.Itoa(len(w.cancelNow(int(a.num("count", "1")), a.dur("hang", "0s"))))
	case "invalid_requests":
		w.invalidRequests = true
		w.sendInvalidRequests()
		w.after(a.dur("for", "10s"), func() { w.invalidRequests = false })
	case "churn":
		w.churn(int(a.num("times", "10")), a.dur("over", "120s"), a["how"])
	case "block_reports":
		for _, k := range w.Workers() {
			if z, ok := a["zone"]; k.up && (!ok || z == k.zone) {
				w.blockReportsFor(k, a.dur("for", "5s"))
			}
		}
	case "block_inbound":
		for _, k := range w.Workers() {
			if z, ok := a["zone"]; k.up && (!ok || z == k.zone) {
				w.BlockInbound(k, true)
				w.after(a.dur("for", "5s"), func() { w.BlockInbound(k, false) })
			}
		}
	case "block_watch", "unblock_watch":
		for _, n := range w.pick(a["node"]) {
			n.watchBlocked = cmd == "block_watch"
		}
	case "slow_state":
		w.slowState = a.dur("within", "0s")
	case "cut_zone":
		w.cutZone(w.pick(a["node"])[0], a["zone"], a.dur("for", "20s"))
	case "ask":
		// From here on users ask that controller.
		w.users = w.pick(a["node"])[0]
	case "running_tasks":
		// How many tasks of a job are on machines.
		n := 0
		for _, t := range w.check.onMachines() {
			if t.job.id == a["id"] {
				n++
			}
		}
		return strconv.Itoa(n)
	case "acknowledged":
		return w.check.acknowledged[a["id"]]
	case "after":
		// Starts after a confirmed cancellation.
		return strconv.Itoa(w.check.after)
	case "leads":
		if l := w.Leader(); l != nil {
			return l.name
		}
		return "nobody"
	default:
		return "unknown command " + strings.TrimSpace(cmd)
	}
	return "ok"
}

// cutZone cuts the workers of a zone and a controller off from everything else.
func (w *World) cutZone(n *node, zone string, d time.Duration) {
	in := map[string]bool{n.name: true}
	for _, k := range w.Workers() {
		in[k.name] = k.zone == zone
	}
	out := []string{"state", "cloud", "user"}
	for _, o := range w.nodes {
		if o != n {
			out = append(out, o.name)
		}
	}
	for _, k := range w.Workers() {
		if !in[k.name] {
			out = append(out, k.name)
		}
	}
	cut := func(on bool) {
		for _, k := range w.Workers() {
			if in[k.name] {
				for _, o := range w.nodes {
					if o != n {
						w.Cut(k.name, o.name, on)
					}
				}
			}
		}
		for _, o := range out {
			w.Cut(n.name, o, on)
		}
	}
	cut(true)
	w.after(d, func() { cut(false) })
}
