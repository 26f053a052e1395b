package autoscaler

import (
	"maps"
	"slices"
	"time"

	"lugward/internal/event"
	"lugward/internal/worker"
)

const (
	// A silent machine is released if for each silent machine of its zone so many
	// others report.
	reportingPerSilent = 3
	// A zone's machines do not show that it is connected until this long after they
	// reconnected.
	partitionMemory = 60 * time.Second
)

// zones lists the machines of each zone that are up, silent ones included.
func (a *Autoscaler) zones() map[int][]*worker.Machine {
	zones := map[int][]*worker.Machine{}
	for machine := range a.workers.All() {
		if machine.Decommissioning() {
			continue
		}
		booting := a.booting[machine.Index]
		if machine.LastHeartbeat() != 0 || (booting != nil && booting.up) {
			zones[machine.Zone()] = append(zones[machine.Zone()], machine)
		}
	}
	return zones
}

// findPartitioned finds the zones most of whose machines are silent: nothing is
// provisioned there, and machines that are there are kept for longer.
func (a *Autoscaler) findPartitioned(scan *scan) {
	partitioned := map[int]bool{}
	for zone, machines := range scan.zones {
		lost := 0
		for _, machine := range machines {
			if scan.now-a.lastSign(machine) > scan.silentAfter || machine.UnreachableSince() != 0 {
				lost++
			}
		}
		// A single lost machine says nothing of its zone.
		if lost <= 1 || 2*lost <= len(machines) {
			continue
		}
		partitioned[zone] = true
		if !a.partitioned[zone] {
			a.log.Info("zone is partitioned", "zone", a.names.Zones.Name(zone), "machines", len(machines), "silent", lost)
		}
	}
	a.partitioned = partitioned
}

// lastSign is when a machine last reported, or was first listed as running where
// it has not reported.
func (a *Autoscaler) lastSign(machine *worker.Machine) event.Time {
	if booting := a.booting[machine.Index]; machine.LastHeartbeat() == 0 && booting != nil {
		return booting.since
	}
	return machine.LastHeartbeat()
}

// releaseUnresponsive releases a machine that alone in its zone went silent: the cloud's
// response proves that its tasks have terminated long before the end of its lease
// does. Where several are silent a partition is the likelier cause, and they are
// left to go on working; so they are while the zone reconnects machine by machine.
func (a *Autoscaler) releaseUnresponsive(scan *scan) {
	for _, zone := range slices.Sorted(maps.Keys(scan.zones)) {
		machines := scan.zones[zone]
		var silent []*worker.Machine
		for _, machine := range machines {
			// One that never reported counts as booting.
			if machine.LastHeartbeat() != 0 && scan.now-machine.LastHeartbeat() > scan.silentAfter {
				silent = append(silent, machine)
			}
		}
		if len(silent) == 0 {
			continue
		}
		reports := connectedHeartbeats(machines, scan)
		for _, machine := range silent {
			if countAfter(reports, machine.LastHeartbeat()+scan.silentAfter*3/4) < reportingPerSilent*len(silent) {
				continue
			}
			a.log.Info("silent machine released", "machine", machine.Name, "tasks", len(a.jobs.OnMachine(machine.Index)))
			a.Decommission(machine, scan.now, scan.term)
		}
	}
}

// connectedHeartbeats lists, in order, when the machines of a zone last reported that
// show by it that the zone is connected to us. Those do not that were silent a while
// ago, nor those whose reports come through another controller: what cuts them off
// from us may cut off a machine that has not found that way yet.
func connectedHeartbeats(machines []*worker.Machine, scan *scan) []event.Time {
	recent := func(at event.Time) bool { return at != 0 && scan.now-at <= partitionMemory }
	var reports []event.Time
	for _, machine := range machines {
		if !recent(machine.ReconnectedAt()) && !recent(machine.RelayedAt()) {
			reports = append(reports, machine.LastHeartbeat())
		}
	}
	slices.Sort(reports)
	return reports
}

// countAfter counts the reports well after a machine's last one. Machines behind one
// partition go silent one by one, each when its next report is due, so those that
// reported shortly after it show nothing.
func countAfter(reports []event.Time, wellAfter event.Time) int {
	at, _ := slices.BinarySearch(reports, wellAfter+1)
	return len(reports) - at
}
