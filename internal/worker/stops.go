package worker

import (
	"encoding/json"
	"sort"

	"lugward/internal/event"
	"lugward/internal/pipeline"
)

func (f *Registry) stopGang(j *pipeline.Job) {
	j.Stopping = true
	j.Entries(func(e *pipeline.Entry) {
		if !e.Evict {
			e.Evict, e.GracePeriod = true, j.CheckpointDuration+1
			f.Jobs.MarkMachineChanged(e.Machine)
		}
		f.stopSoon(e)
		if !e.Durable {
			f.Jobs.Clear(e)
		}
	})
}

// Evict asks for a task to be stopped so that it can run elsewhere. A gang
// stops as a whole.
func (f *Registry) Evict(e *pipeline.Entry, gracePeriod float64) {
	if e.Evict {
		return
	}
	f.Jobs.Changed = true
	if e.Job.Shape == pipeline.Gang && e.Job.TaskCount > 1 {
		f.stopGang(e.Job)
		return
	}
	e.Evict, e.GracePeriod = true, gracePeriod
	f.Jobs.MarkMachineChanged(e.Machine)
	f.stopSoon(e)
	if !e.Durable {
		f.Jobs.Clear(e)
	}
}

// stopSoon notes that a task is to be stopped.
func (f *Registry) stopSoon(e *pipeline.Entry) { f.toStop[e.Machine] = true }

// directStops sends stops that cannot wait for the next report. Executed
// late they do no harm: they name an attempt, and attempts are not reused. It
// tells whether a task on the machine is still to be stopped.
func (f *Registry) directStops(h *Machine, now event.Time, term Term, out *event.Effects) (more bool) {
	ready := h.LastReport != 0 && h.Addr != "" && now-h.lastDirectCommand >= directInterval
	var orders []Order
	for _, e := range f.Jobs.OnMachine(h.Index) {
		stop, gracePeriod := f.mustStop(e)
		more = more || stop
		if ready && stop && e.Durable && e.Pending == pipeline.NoPendingWrite && e.Phase != pipeline.Unseen && e.Phase < pipeline.Saving {
			orders = append(orders, Order{Verb: "stop", Task: taskName(e), Attempt: e.Attempt, GracePeriod: &gracePeriod})
		}
	}
	sort.Slice(orders, func(a, b int) bool { return orders[a].Task < orders[b].Task })
	if len(orders) == 0 {
		return more
	}
	h.lastDirectCommand = now
	body, _ := json.Marshal(directCommand{term.FencingToken(), h.Session, orders})
	f.calls[out.Call(h.Addr, "POST", "/do", body, directTimeout)] = nil
	return more
}
