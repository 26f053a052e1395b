package autoscaler

import (
	"maps"
	"slices"
	"time"

	"lugward/internal/event"
	"lugward/internal/store"
	"lugward/internal/worker"
)

// zones lists the machines of each zone that are up, heard or not.
func (r *Autoscaler) zones() map[int][]*worker.Machine {
	zones := map[int][]*worker.Machine{}
	for _, h := range r.workers.Machines {
		if h == nil || h.Retiring {
			continue
		}
		if b := r.booting[h.Index]; h.LastReport != 0 || (b != nil && b.up) {
			zones[h.Zone] = append(zones[h.Zone], h)
		}
	}
	return zones
}

// findPartitioned finds the zones most of whose machines are silent: nothing is
// provisioned there, and what is there is not given up soon.
func (r *Autoscaler) findPartitioned(zones map[int][]*worker.Machine, now event.Time, silent time.Duration) {
	partitioned := map[int]bool{}
	for z, machines := range zones {
		lost := 0
		for _, h := range machines {
			last := h.LastReport
			if b := r.booting[h.Index]; h.LastReport == 0 && b != nil {
				last = b.since
			}
			if now-last > silent || h.UnreachableSince != 0 {
				lost++
			}
		}
		if lost > 1 && 2*lost > len(machines) {
			partitioned[z] = true
			if !r.partitioned[z] {
				r.log.Info("zone is partitioned", "zone", r.names.Zones.Name(z), "machines", len(machines), "silent", lost)
			}
		}
	}
	r.partitioned = partitioned
}

// releaseSilent returns a machine that alone in its zone went silent: the
// cloud's answer proves its tasks terminated long before its lease does. Where
// several are silent the network is the likelier cause, and they are left to
// go on working; so they are while the zone comes back machine by machine.
func (r *Autoscaler) releaseSilent(zones map[int][]*worker.Machine, now event.Time, term store.Condition, silent time.Duration) {
	for _, z := range slices.Sorted(maps.Keys(zones)) {
		var lost []*worker.Machine
		for _, h := range zones[z] {
			if h.LastReport != 0 && now-h.LastReport > silent { // else it counts as booting
				lost = append(lost, h)
			}
		}
		for _, l := range lost {
			// Machines behind one cut go silent one by one, each when its next
			// report is due: only those heard well after count.
			heard := 0
			for _, h := range zones[z] {
				if h.LastReport > l.LastReport+silent*3/4 && (h.ReconnectedAt == 0 || now-h.ReconnectedAt > partitionMemory) {
					heard++
				}
			}
			if heard >= silentShare*len(lost) {
				r.log.Info("silent machine released", "machine", l.Name, "tasks", len(r.jobs.OnMachine(l.Index)))
				r.Retire(l, now, term)
			}
		}
	}
}
