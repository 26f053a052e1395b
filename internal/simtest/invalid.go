package simtest

import (
	"encoding/json"
	"fmt"
	"sort"
	"time"
)

// sendInvalidRequests lets users send invalid requests until that is over.
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
	var submitted map[string]json.RawMessage
	_ = json.Unmarshal(w.Body(a), &submitted)
	var fields []string
	for f := range submitted {
		if f != "flavors" && f != "yard" && f != "due_s" {
			fields = append(fields, f)
		}
	}
	sort.Strings(fields)
	delete(submitted, fields[w.rng.IntN(len(fields))])
	body, _ := json.Marshal(submitted)
	w.refuse(a["id"], body, 400)
}

func (w *World) refuse(id string, body []byte, want int) {
	j := w.jobs[id]
	j.submitted, j.mustRefuse = true, want
	w.insist("POST", "/submissions", body, func(asked time.Duration, status int, phase string) bool {
		w.check.answered(asked, id, status, phase)
		w.check.refusedWith(id, want, status)
		return status == want
	})
}

// refusedWith checks the status of an invalid request: the expected one, or an
// undecided one where the controller cannot decide yet.
func (c *Checker) refusedWith(id string, want, status int) {
	undecided := status == 0 || status == 503 || status == 429 || status == 504
	if status != want && !(undecided && !(want == 400 && status == 503)) {
		c.broken("refused wrongly: %s answered %d for %d", id, status, want)
	}
}
