package autoscaler

import (
	"maps"
	"slices"
	"time"

	"lugward/internal/event"
	"lugward/internal/worker"
)

const (
	// An unresponsive machine is decommissioned if for each unresponsive machine of its
	// zone so many others send heartbeats.
	responsivePerUnresponsive = 3
	// A zone's machines do not show that it is connected until this long after they
	// reconnected.
	partitionMemory = 60 * time.Second
)

// decommissionUnresponsive decommissions a machine that alone in its zone misses
// heartbeats: the cloud's response proves that its tasks have terminated long before
// the expiry of its lease does. Where several machines miss heartbeats a partition is
// the likelier cause, and they are left to go on working; so they are while the zone
// reconnects machine by machine.
func (s *scaleIn) decommissionUnresponsive(scan *scan) {
	for _, zone := range slices.Sorted(maps.Keys(scan.zones)) {
		machines := scan.zones[zone]
		unresponsive := s.unresponsive(machines, scan.now)
		if len(unresponsive) == 0 {
			continue
		}
		heartbeats := connectedHeartbeats(machines, scan.now)
		for _, machine := range unresponsive {
			wellAfter := machine.LastHeartbeat() + s.heartbeatTimeout*3/4
			if countAfter(heartbeats, wellAfter) < responsivePerUnresponsive*len(unresponsive) {
				continue
			}
			s.log.Info("decommissioning unresponsive machine", "machine", machine.Name, "tasks", len(s.jobs.OnMachine(machine.Index)))
			s.decommissions.start(machine, scan.now, scan.term)
		}
	}
}

// unresponsive lists the machines that have missed heartbeats. One that has not
// registered counts as booting.
func (s *scaleIn) unresponsive(machines []*worker.Machine, now event.Time) []*worker.Machine {
	var unresponsive []*worker.Machine
	for _, machine := range machines {
		if machine.LastHeartbeat() != 0 && now-machine.LastHeartbeat() > s.heartbeatTimeout {
			unresponsive = append(unresponsive, machine)
		}
	}
	return unresponsive
}

// connectedHeartbeats lists, in order, the last heartbeats of the machines of a zone
// that show by them that the zone is connected to us. Those do not that missed
// heartbeats a while ago, nor those whose heartbeats come through another controller:
// what cuts them off from us may cut off a machine that has not found that way yet.
func connectedHeartbeats(machines []*worker.Machine, now event.Time) []event.Time {
	recent := func(at event.Time) bool { return at != 0 && now-at <= partitionMemory }
	var heartbeats []event.Time
	for _, machine := range machines {
		if !recent(machine.ReconnectedAt()) && !recent(machine.RelayedAt()) {
			heartbeats = append(heartbeats, machine.LastHeartbeat())
		}
	}
	slices.Sort(heartbeats)
	return heartbeats
}

// countAfter counts the heartbeats after a point well after a machine's last one.
// Machines behind one partition miss heartbeats one by one, each when its next is due,
// so those whose last came shortly after that machine's show nothing.
func countAfter(heartbeats []event.Time, wellAfter event.Time) int {
	at, _ := slices.BinarySearch(heartbeats, wellAfter+1)
	return len(heartbeats) - at
}
