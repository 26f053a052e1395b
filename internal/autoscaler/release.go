package autoscaler

import (
	"encoding/json"
	"slices"
	"time"

	"lugward/internal/event"
	"lugward/internal/store"
	"lugward/internal/worker"
)

// Retire logs that a machine gets nothing more; once that is stored it is
// returned. A successor knows by the log not to use it.
func (r *Autoscaler) Retire(h *worker.Machine, now event.Time, term store.Condition) {
	h.Retiring = true
	if r.logging[h.Name] || r.retired[h.Name] != 0 || len(r.logging) >= maxRetiring {
		return // what is left is retired by a later look at the machines
	}
	r.logging[h.Name] = true
	name := h.Name
	r.store.Submit(&store.Intent{Priority: store.Progress, Rank: retireRank, Conditions: []store.Condition{term},
		Writes: []store.Write{{Key: RetireKind + "/" + name, Data: []byte("1")}},
		Done:   func(store.Result) { delete(r.logging, name) }}, now+time.Minute)
}

func (r *Autoscaler) releaseRetired(now event.Time, term store.Condition, out *event.Effects) {
	if len(r.retired) == 0 || now-r.releaseAt < releaseInterval {
		return
	}
	r.releaseAt = now
	var machines []string
	for name := range r.retired {
		if !r.releasing[name] {
			machines = append(machines, name)
		}
	}
	slices.Sort(machines)
	for _, name := range machines {
		r.workers.Machine(name, now).Retiring = true
	}
	if len(machines) == 0 || !r.allowed(now) {
		return
	}
	machines = machines[:min(len(machines), maxReleaseBatch)]
	for _, n := range machines {
		r.releasing[n] = true
	}
	body, _ := json.Marshal(map[string]any{"hosts": machines})
	r.call("POST", "/rentals/return", body, out, func(now event.Time, status int, _ []byte, _ *event.Effects) {
		for _, n := range machines {
			delete(r.releasing, n)
		}
		if status != 200 {
			r.pauseTo = max(r.pauseTo, now+errorPause)
			return
		}
		for _, n := range machines {
			h := r.workers.Machine(n, now)
			r.workers.MarkTerminated(h, now) // the answer proves that nothing runs there
			delete(r.booting, h.Index)
			delete(r.refused, offer{h.MachineType, h.Zone, h.Spot}) // there is one to be had now
			r.workers.Machines[h.Index] = nil
			r.released[n] = now
			r.releasing[n] = true // not again, until the log entry is dropped
			r.store.Submit(&store.Intent{Priority: store.Cleanup, Conditions: []store.Condition{term},
				Writes: []store.Write{{Key: RetireKind + "/" + n}},
				Done:   func(store.Result) { delete(r.releasing, n) }}, now+cleanupTimeout)
		}
	})
}
