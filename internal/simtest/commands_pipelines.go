package simtest

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// pipelineCommands submit and watch jobs that need others.
var pipelineCommands = map[string]command{
	"line": {"submits jobs that each need the one before", manyArguments, show(submitLine)},
	"finished_jobs": {"adds jobs that were over long ago", []argument{number("from", "number of the first ID, 1 if absent"), number("count", "jobs"),
		oneOf("phase", "done if absent", "done", "cancelled")}, act((*World).addFinishedJobs)},
	"tally": {"counts the phases last acknowledged of many jobs, polling those that are not over", []argument{number("from", "number of the first ID, 1 if absent"),
		number("count", "jobs"), duration("within", "polls until all are over or for so long")}, show((*World).tally)},
	"owner": {"prints the controller that owns a job", onlyID, show(ownerOf)},
	"order": {"tells whether a job began before another", withArguments(onlyID, need(text("before", "ID of the other job"))), startOrder},
}

func submitLine(w *World, a Args) string {
	for i := range int(a.num("count", "2")) {
		one := maps.Clone(a)
		n := int(a.num("from", "1")) + i
		one["id"] = jobID(n)
		if i > 0 {
			one["awaits"] = jobID(n - 1)
		}
		if status, phase := w.Submit(one); !accepted(status) {
			return statusAndPhase(status, phase)
		}
	}
	return "accepted"
}

func ownerOf(w *World, a Args) string {
	var r struct {
		Owner string `json:"o"`
	}
	_ = json.Unmarshal(w.state.keys["j/"+a["id"]].data, &r)
	return r.Owner
}

func startOrder(w *World, a Args, _ string) (string, error) {
	first, second := w.jobs[a["id"]], w.jobs[a["before"]]
	switch {
	case first == nil || second == nil:
		return "", errors.New("a job was not submitted")
	case first.began == 0 || second.began == 0:
		return "not both have begun", nil
	case first.began < second.began:
		return "before", nil
	}
	return "not before", nil
}

// addFinishedJobs adds jobs that were over long ago, as the state service keeps
// them.
func (w *World) addFinishedJobs(a Args) {
	for i := range int(a.num("count", "1")) {
		id := jobID(int(a.num("from", "1")) + i)
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

// isOver tells whether the last answer showed a job as done or cancelled.
func (c *Checker) isOver(id string) bool {
	phase := c.acknowledged[id]
	return phase == "done" || phase == "cancelled"
}

// tally counts the last acknowledged phases of so many jobs from an ID on,
// polling those that are not over until they are or the time has run out.
func (w *World) tally(a Args) string {
	first, n := int(a.num("from", "1")), int(a.num("count", "1"))
	end := w.now + a.dur("within", "0s")
	for {
		count := map[string]int{}
		open := 0
		for i := range n {
			id := jobID(first + i)
			if !w.check.isOver(id) {
				w.Poll(id)
			}
			if !w.check.isOver(id) {
				open++
			}
			count[w.check.acknowledged[id]]++
		}
		if open == 0 || w.now >= end {
			return countsText(count)
		}
		w.Run(time.Second)
	}
}

// countsText lists counts as name=count, by name.
func countsText(count map[string]int) string {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(count)) {
		parts = append(parts, fmt.Sprintf("%s=%d", name, count[name]))
	}
	return strings.Join(parts, " ")
}

// race lets so many pairs meet, each a little later against the other: a job is
// cancelled and, from before to after it, one that needs it is submitted
// ("submit"), or a job is cancelled about when its last task ends, while another
// waits for it ("done"). It tells whether each pair ended alike.
func (w *World) race(a Args) string {
	first, n, step := int(a.num("from", "1")), int(a.num("count", "20")), a.dur("step", "10ms")
	for i := range n {
		up, down := maps.Clone(a), maps.Clone(a)
		up["id"], down["id"], down["awaits"] = jobID(first+2*i), jobID(first+2*i+1), jobID(first+2*i)
		w.Submit(up)
		offset := step * time.Duration(i-n/2)
		if a["with"] == "done" {
			w.Submit(down)
			w.cancelAroundEnd(w.jobs[up["id"]], offset)
			continue
		}
		w.after(max(0, -offset), func() { w.cancelOn(up["id"]) })
		w.after(max(0, offset), func() { w.submitOn(down) })
	}
	w.Run(step*time.Duration(n) + time.Second)
	if !w.settled(2 * userRetry) {
		return "not all are answered"
	}
	return w.raceOutcome(first, n, a.dur("within", "120s"), a.flag("both"))
}

// cancelAroundEnd cancels a job that much after the expected end of its tasks.
func (w *World) cancelAroundEnd(j *job, offset time.Duration) {
	if j.began == 0 {
		w.after(tickEvery, func() { w.cancelAroundEnd(j, offset) })
		return
	}
	w.after(max(0, j.began+j.run-w.now+offset), func() { w.cancelOn(j.id) })
}

// raceOutcome polls the pairs of a race until each has ended alike.
func (w *World) raceOutcome(first, pairs int, within time.Duration, both bool) string {
	for end := w.now + within; ; w.Run(time.Second) {
		for i := range 2 * pairs {
			if id := jobID(first + i); !w.check.isOver(id) {
				w.Poll(id)
			}
		}
		ends := map[string]int{}
		for i := range pairs {
			ends[w.check.acknowledged[jobID(first+2*i)]+"/"+w.check.acknowledged[jobID(first+2*i+1)]]++
		}
		if ends["done/done"]+ends["cancelled/cancelled"] == pairs {
			if both && (ends["done/done"] == 0 || ends["cancelled/cancelled"] == 0) {
				return fmt.Sprintf("alike, but all one way: %v", ends)
			}
			return "alike"
		}
		if w.now >= end {
			return fmt.Sprint(ends)
		}
	}
}
