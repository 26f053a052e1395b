package autoscaler

import (
	"encoding/json"
	"fmt"
	"time"

	"lugward/internal/event"
)

type wireMachine struct {
	Name  string  `json:"name_id"`
	Addr  string  `json:"addr"`
	Type  string  `json:"flavor"`
	Zone  string  `json:"yard"`
	Spot  bool    `json:"loaners"`
	Phase string  `json:"phase"`
	Held  float64 `json:"held_s"`
}

// list reads the machine list: it shows machines that nobody expects.
func (r *Autoscaler) list(now event.Time, from string, out *event.Effects) {
	r.listing, r.listAt = true, now
	asked := now
	path := fmt.Sprintf("/rentals?limit=%d", listLimit)
	if from != "" {
		path += "&from=" + from
	}
	r.call("GET", path, nil, out, func(now event.Time, status int, body []byte, out *event.Effects) {
		r.listing = false
		var v struct {
			Machines []wireMachine `json:"hosts"`
			More     bool          `json:"has_next"`
		}
		if status != 200 || json.Unmarshal(body, &v) != nil {
			return
		}
		for _, w := range v.Machines {
			r.observeListed(w, now)
		}
		if v.More && len(v.Machines) > 0 {
			r.list(now, v.Machines[len(v.Machines)-1].Name, out)
		} else if asked >= r.planFrom {
			r.mayPlan = true
		}
	})
}

func (r *Autoscaler) observeListed(w wireMachine, now event.Time) {
	if w.Name == "" || r.retired[w.Name] != 0 || r.releasing[w.Name] {
		return
	}
	if at, ok := r.released[w.Name]; ok && now-at < 2*r.cfg.ListLag+listInterval {
		return // gone; the list lags
	}
	h := r.workers.Machine(w.Name, now)
	if h.Addr == "" {
		h.Addr = w.Addr
	}
	if !h.Known {
		h.MachineType, h.Zone, h.Spot, h.Known = r.names.MachineTypes.Index(w.Type), r.names.Zones.Index(w.Zone), w.Spot, true
	}
	switch {
	case w.Phase == "failed":
		h.Retiring = true // logged and returned by the next tick
	case w.Phase == "booting" && h.LastReport == 0 && r.booting[h.Index] == nil:
		r.booting[h.Index] = &bootingMachine{offer: offer{h.MachineType, h.Zone, h.Spot}, since: now - time.Duration(w.Held*float64(time.Second))}
	case w.Phase == "running" && h.LastReport == 0 && (r.booting[h.Index] == nil || !r.booting[h.Index].up):
		// Up by the list, silent to us: it counts as booting until it
		// reports or is given up.
		r.booting[h.Index] = &bootingMachine{offer: offer{h.MachineType, h.Zone, h.Spot}, since: now, up: true}
	}
}
