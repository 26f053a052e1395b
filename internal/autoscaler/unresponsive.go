package autoscaler

import (
	"maps"
	"slices"
	"time"

	"lugward/internal/event"
	"lugward/internal/worker"
)

const (
	// An unresponsive machine is decommissioned only if, for each unresponsive machine of
	// its zone, at least this many other machines of the zone send heartbeats.
	responsivePerUnresponsive = 3
	// The heartbeats of a machine that has reconnected are no evidence that its zone is
	// connected until this time has passed. The same holds after a relayed heartbeat.
	connectionSettleTime = 60 * time.Second
)

// decommissionUnresponsive decommissions machines that miss heartbeats while their zone
// is connected: the cloud's response to the release proves that the machine's tasks have
// terminated, long before the expiry of its lease would. If several machines of a zone
// miss heartbeats, a partition is the likelier cause, and the machines keep running their
// tasks. The same holds while the machines of the zone reconnect one by one.
func (s *scaleIn) decommissionUnresponsive(scan *scan) {
	for _, zone := range slices.Sorted(maps.Keys(scan.zones)) {
		machines := scan.zones[zone]
		unresponsive := s.unresponsive(machines, scan.now)
		if len(unresponsive) == 0 {
			continue
		}
		heartbeats := connectedHeartbeats(machines, scan.now)
		for _, machine := range unresponsive {
			cutoff := machine.LastHeartbeat() + s.heartbeatTimeout*3/4
			if countAfter(heartbeats, cutoff) < responsivePerUnresponsive*len(unresponsive) {
				continue
			}
			s.log.Info("decommissioning unresponsive machine", "machine", machine.Name, "tasks", s.jobs.AssignmentCount(machine.Index))
			s.decommissions.start(machine, scan.now, scan.term)
		}
	}
}

// unresponsive returns the machines that have sent no heartbeat for heartbeatTimeout. A
// machine that has not registered counts as booting instead.
func (s *scaleIn) unresponsive(machines []*worker.Machine, now event.Time) []*worker.Machine {
	var unresponsive []*worker.Machine
	for _, machine := range machines {
		if machine.LastHeartbeat() != 0 && now-machine.LastHeartbeat() > s.heartbeatTimeout {
			unresponsive = append(unresponsive, machine)
		}
	}
	return unresponsive
}

// connectedHeartbeats returns, in ascending order, the last heartbeats of those machines
// of a zone that indicate that the zone is connected to this controller. It excludes
// machines that reconnected recently and machines whose heartbeats are relayed by another
// controller: the partition between those and this controller may also affect a machine
// whose heartbeats are not relayed yet.
func connectedHeartbeats(machines []*worker.Machine, now event.Time) []event.Time {
	recent := func(at event.Time) bool { return at != 0 && now-at <= connectionSettleTime }
	var heartbeats []event.Time
	for _, machine := range machines {
		if !recent(machine.ReconnectedAt()) && !recent(machine.RelayedAt()) {
			heartbeats = append(heartbeats, machine.LastHeartbeat())
		}
	}
	slices.Sort(heartbeats)
	return heartbeats
}

// countAfter counts the heartbeats that arrived after cutoff, which is well after the last
// heartbeat of an unresponsive machine. Machines behind the same partition miss heartbeats
// one by one, each when its next heartbeat is due, so a heartbeat that arrived shortly
// after that of the unresponsive machine does not indicate that the zone is connected.
func countAfter(heartbeats []event.Time, cutoff event.Time) int {
	index, _ := slices.BinarySearch(heartbeats, cutoff+1)
	return len(heartbeats) - index
}
