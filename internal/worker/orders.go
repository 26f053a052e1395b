package worker

import (
	"lugward/internal/event"
	"lugward/internal/pipeline"
)

// Orders returns what to answer to a report that was taken, as things stand
// now.
func (f *Registry) Orders(r *Report, now event.Time, term Term) []Order {
	h := f.Machine(r.Machine, now)
	proof := r.FencingToken == term.FencingToken()
	entitled := term.MayStart(now)

	var starts, stops, reaps []Order
	seen := map[*pipeline.Entry]bool{}
	h.UnknownTasks = 0
	for _, s := range r.Tasks {
		j, e, task := f.find(h, s)
		if e == nil {
			switch {
			case s.Phase == "exited" && s.Cause == "done" && j != nil && j.Final == pipeline.Queued && !j.IsDone(task):
				// not stored yet
			case s.Phase == "exited":
				reaps = append(reaps, Order{Verb: "reap", Task: s.Task, Attempt: s.Attempt})
			default:
				h.UnknownTasks++
				zero := 0.0
				stops = append(stops, Order{Verb: "stop", Task: s.Task, Attempt: s.Attempt, GracePeriod: &zero})
			}
			continue
		}
		seen[e] = true
		// What is cancelled is stopped whatever else is on its way for it: a
		// task that was taken to be over may hang and go on.
		if s.Phase != "exited" && (e.Pending == pipeline.NoPendingWrite || e.Job.Final == pipeline.Cancelled) {
			if stop, gracePeriod := f.mustStop(e); stop {
				stops = append(stops, Order{Verb: "stop", Task: s.Task, Attempt: s.Attempt, GracePeriod: &gracePeriod})
			}
		}
	}
	for _, e := range f.sorted(h) {
		if seen[e] || !e.Durable || e.Pending != pipeline.NoPendingWrite {
			continue
		}
		stop, _ := f.mustStop(e)
		switch {
		case !stop && e.Job.Shape == pipeline.Gang && e.Job.TaskCount > 1 && e.Phase >= pipeline.Waiting && proof:
			// The worker lost it: the rest of the gang cannot go on.
			f.stopGang(e.Job)
			f.Jobs.Clear(e)
		case !stop && entitled:
			starts = append(starts, Order{Verb: "start", Task: taskName(e), Attempt: e.Attempt})
			// Lost with the worker's session, if it was there before.
			e.OrderedSequence, e.Phase, e.StartedAt = r.Sequence, pipeline.Unseen, 0
			h.Images[e.Job.Image] = true
		case stop && proof:
			// One report is in flight at a time and responses never execute
			// late: a start that is not in this report will not happen.
			f.Jobs.Clear(e)
		}
	}
	h.LastAnswer = now
	// Reaps first: a start is refused while another attempt is listed.
	return append(append(reaps, stops...), starts...)
}

// mustStop tells whether a task is to be stopped, and with how much grace.
func (f *Registry) mustStop(e *pipeline.Entry) (bool, float64) {
	if e.Job.Final != pipeline.Queued {
		return true, 0
	}
	return e.Evict, e.GracePeriod
}
