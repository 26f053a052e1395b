package simtest

import (
	"encoding/json"
	"fmt"
	"maps"
	"math"
	"strings"
	"time"
)

// userRetry is how long users go on asking.
const userRetry = 60 * time.Second

// userCallTimeout is how long users wait for an answer.
const userCallTimeout = 5 * time.Second

// Body registers a job with the workers, as its user does, and returns the
// submission.
func (w *World) Body(a Args) []byte {
	id := a["id"]
	j := w.jobs[id]
	if j == nil {
		j = &job{id: id, progress: map[int]time.Duration{}, complete: map[int]bool{}, gangs: map[uint64]*gang{}}
		w.jobs[id] = j
	}
	j.team, j.shape, j.class = a.or("team", "red"), a.or("shape", "array"), a.or("class", "c")
	j.taskCount = int(a.num("tasks", "1"))
	j.cpus, j.gpus, j.memory = a.num("cpus", "1"), a.num("gpus", "0"), a.num("memory", "1")
	if f, ok := a["types"]; ok {
		j.machineTypes = strings.Split(f, "+")
	}
	j.zone = a["zone"]
	j.sameZone, j.scatter, j.allowSpot, j.broken = a.flag("same_zone"), a.flag("scatter"), a.flag("spot"), a.flag("broken")
	j.brokenTask = 1 + int(a.num("broken_task", "-1"))
	j.run, j.image = a.dur("run", "5s"), a.dur("image", "1s")
	j.checkpointInterval, j.checkpointDuration = a.dur("checkpoint", "0s"), a.dur("checkpoint_cost", "1s")
	request := submission{ID: id, Class: j.class, Team: j.team, Shape: j.shape, Priority: a.or("priority", "normal"), TaskCount: j.taskCount,
		CPUs: j.cpus, GPUs: j.gpus, Memory: j.memory, Image: a.or("image_name", "img"), ImageGB: 1, MachineTypes: j.machineTypes,
		SameZone: j.sameZone, Scatter: j.scatter, AllowSpot: j.allowSpot, EstimatedRuntime: j.run.Seconds(),
		CheckpointInterval: j.checkpointInterval.Seconds(), CheckpointDuration: j.checkpointDuration.Seconds(), Upstream: w.await(j, a)}
	if j.zone != "" {
		request.Zone = &j.zone
	}
	j.body, _ = json.Marshal(request)
	return j.body
}

// ask sends one user request to a node and plays until the answer is there.
func (w *World) ask(n *node, method, path string, body []byte) (status int, phase string) {
	done := false
	w.request("user", n, method, path, body, userCallTimeout, func(s int, b []byte) {
		status, phase, done = s, phaseIn(b), true
	})
	for end := w.now + 6*time.Second; !done && w.now < end; {
		w.Run(20 * time.Millisecond)
	}
	return status, phase
}

// phaseIn is the phase that an answer to a user shows.
func phaseIn(answer []byte) string {
	var v struct {
		Phase string `json:"phase"`
	}
	_ = json.Unmarshal(answer, &v)
	return v.Phase
}

// entryNode is the controller that the next request of a user goes to.
func (w *World) entryNode() *node {
	if w.users != nil {
		return w.users
	}
	return w.nodes[w.rng.IntN(len(w.nodes))]
}

// user repeats a request as users do until an answer counts.
func (w *World) user(id, method, path string, body []byte) (int, string) {
	for end := w.now + userRetry; ; w.Run(time.Second) {
		asked := w.now
		status, phase := w.ask(w.entryNode(), method, path, body)
		w.check.answered(asked, id, status, phase)
		if j := w.jobs[id]; j != nil && j.asked == 0 {
			j.asked = max(w.now, 1)
		}
		switch status {
		case 200, 201, 400, 404, 422:
			return status, phase
		}
		if w.now >= end {
			return status, "gave up"
		}
	}
}

// Submit submits a job.
func (w *World) Submit(a Args) (int, string) {
	body := w.Body(a)
	w.jobs[a["id"]].submitted = true
	return w.user(a["id"], "POST", "/submissions", body)
}

// crowd is what came of jobs that were submitted at the same moment.
type crowd struct {
	accepted, open int
	slowest        time.Duration // time to the slowest answer
	refused        int           // answers 503
	refusedTime    time.Duration // until these answers came, all together
}

// crowd submits many jobs at the same moment, each user repeating as users do,
// and tells how many were accepted, within how many seconds the slowest request
// was answered at all, and whether refusals come at once on average.
func (w *World) crowd(a Args) string {
	c := &crowd{open: int(a.num("count", "1"))}
	end := w.now + userRetry
	for i := range c.open {
		one := maps.Clone(a)
		one["id"] = jobID(int(a.num("from", "1")) + i)
		body := w.Body(one)
		j := w.jobs[one["id"]]
		j.submitted = true
		w.submitInCrowd(c, j, body, end)
	}
	for c.open > 0 {
		w.Run(100 * time.Millisecond)
	}
	return c.outcome(a.dur("within", "0s"))
}

// submitInCrowd submits one job of a crowd until it is accepted or the end has
// come.
func (w *World) submitInCrowd(c *crowd, j *job, body []byte, end time.Duration) {
	asked := w.now
	w.request("user", w.entryNode(), "POST", "/submissions", body, userCallTimeout, func(status int, b []byte) {
		w.check.answered(asked, j.id, status, phaseIn(b))
		c.slowest = max(c.slowest, w.now-asked)
		if status == 503 {
			c.refused++
			c.refusedTime += w.now - asked
		}
		switch {
		case accepted(status):
			j.asked = asked
			c.accepted, c.open = c.accepted+1, c.open-1
		case w.now >= end:
			c.open--
		default:
			w.after(time.Second, func() { w.submitInCrowd(c, j, body, end) })
		}
	})
}

// promptRefusal is how soon refusals come on average where they come at once.
const promptRefusal = 500 * time.Millisecond

// outcome tells what came of a crowd; most is the longest that an answer may
// take, 0 where it is not to be judged.
func (c *crowd) outcome(most time.Duration) string {
	if most > 0 && c.slowest <= most {
		// Where links lose packets, a call of ours may take its time.
		return fmt.Sprintf("%d accepted, answered in time", c.accepted)
	}
	when := "at once"
	if mean := c.refusedTime / time.Duration(max(1, c.refused)); mean > promptRefusal {
		when = "after " + mean.String()
	}
	return fmt.Sprintf("%d accepted, answered within %.0fs, refused %s", c.accepted, math.Ceil(c.slowest.Seconds()), when)
}

// Poll asks for a job's state once, without insisting.
func (w *World) Poll(id string) (int, string) {
	asked := w.now
	status, phase := w.ask(w.entryNode(), "GET", "/submissions/"+id, nil)
	w.check.answered(asked, id, status, phase)
	w.check.polled(id, status)
	return status, phase
}

// Cancel cancels a job.
func (w *World) Cancel(id string) (int, string) {
	w.check.asked[id] = true
	return w.user(id, "POST", "/submissions/"+id+"/cancel", nil)
}

// insist sends a user's request again until its answer counts, while the world
// goes on.
func (w *World) insist(method, path string, body []byte, take func(asked time.Duration, status int, phase string) bool) {
	end := w.now + userRetry
	var attempt func()
	attempt = func() {
		asked := w.now
		w.request("user", w.entryNode(), method, path, body, userCallTimeout, func(status int, b []byte) {
			if !take(asked, status, phaseIn(b)) && w.now < end {
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
