package autoscaler

import (
	"encoding/json"
	"fmt"

	"lugward/internal/event"
)

// provision asks for machines. The name holds the term, so that no other leader
// ever uses it again.
func (r *Autoscaler) provision(now event.Time, o offer, n int, term uint64, out *event.Effects) {
	r.serial++
	r.provisioning[o] += n
	r.send(fmt.Sprintf("t%d-%d", term, r.serial), o, n, 0, out)
}

const maxProvisionRetries = 5

func (r *Autoscaler) send(name string, o offer, n, attempts int, out *event.Effects) {
	body, _ := json.Marshal(map[string]any{"hire": name, "flavor": r.names.MachineTypes.Name(o.machineType), "yard": r.names.Zones.Name(o.zone),
		"loaners": o.spot, "number": n})
	r.call("POST", "/rentals", body, out, func(now event.Time, status int, body []byte, out *event.Effects) {
		var v struct {
			Machines []string `json:"hosts"`
			Error    string   `json:"error"`
		}
		err := json.Unmarshal(body, &v)
		switch {
		case status == 200 && err == nil:
			r.log.Info("provisioned", "request", name, "machine_type", r.names.MachineTypes.Name(o.machineType), "spot", o.spot, "asked", n, "got", len(v.Machines))
			for _, name := range v.Machines {
				h := r.workers.Machine(name, now)
				if h.LastReport == 0 {
					h.MachineType, h.Zone, h.Spot, h.Known = o.machineType, o.zone, o.spot, true
					r.booting[h.Index] = &bootingMachine{offer: o, since: now, ours: true}
				}
			}
			if len(v.Machines) < n {
				r.refuse(o, now)
			}
		case status == 503 && v.Error == "no capacity" || status == 400:
			r.refuse(o, now)
		case attempts < maxProvisionRetries:
			// Lost or in trouble: the same name again, so that it is provisioned
			// once at most.
			if status != 0 {
				r.pauseTo = now + errorPause
			}
			r.retries = append(r.retries, pendingRetry{now + errorPause, func(out *event.Effects) { r.send(name, o, n, attempts+1, out) }})
			return
		}
		r.Replan = true
		if r.provisioning[o] -= n; r.provisioning[o] <= 0 {
			delete(r.provisioning, o)
		}
	})
}
