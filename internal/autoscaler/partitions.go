package autoscaler

import (
	"log/slog"
	"time"

	"lugward/internal/event"
	"lugward/internal/pipeline"
	"lugward/internal/worker"
)

// partitionDetector finds the zones most of whose machines are unresponsive: nothing
// is provisioned there, and machines that are there are kept for longer.
type partitionDetector struct {
	names            *pipeline.Names
	workers          *worker.Registry
	booting          *bootingMachines
	log              *slog.Logger
	heartbeatTimeout time.Duration

	partitioned map[pipeline.ZoneIndex]bool // by zone
}

// reset forgets all partitions.
func (d *partitionDetector) reset() { d.partitioned = nil }

// isPartitioned reports whether a zone is partitioned from this controller.
func (d *partitionDetector) isPartitioned(zone pipeline.ZoneIndex) bool { return d.partitioned[zone] }

// runningByZone lists the machines of each zone that are up, unresponsive ones
// included.
func (d *partitionDetector) runningByZone() map[pipeline.ZoneIndex][]*worker.Machine {
	zones := map[pipeline.ZoneIndex][]*worker.Machine{}
	for machine := range d.workers.All() {
		if machine.Decommissioning() {
			continue
		}
		if machine.LastHeartbeat() != 0 || d.booting.isRunning(machine.Index) {
			zones[machine.Zone()] = append(zones[machine.Zone()], machine)
		}
	}
	return zones
}

// update finds the zones that are partitioned now, given the running machines of each
// zone.
func (d *partitionDetector) update(zones map[pipeline.ZoneIndex][]*worker.Machine, now event.Time) {
	partitioned := map[pipeline.ZoneIndex]bool{}
	for zone, machines := range zones {
		lost := d.countLost(machines, now)
		// A single lost machine says nothing of its zone.
		if lost <= 1 || 2*lost <= len(machines) {
			continue
		}
		partitioned[zone] = true
		if !d.partitioned[zone] {
			d.log.Info("zone partitioned", "zone", d.names.Zones.Name(zone), "machines", len(machines), "unresponsive", lost)
		}
	}
	d.partitioned = partitioned
}

// countLost counts the machines that are unresponsive or unreachable.
func (d *partitionDetector) countLost(machines []*worker.Machine, now event.Time) int {
	lost := 0
	for _, machine := range machines {
		if now-d.lastSeen(machine) > d.heartbeatTimeout || machine.UnreachableSince() != 0 {
			lost++
		}
	}
	return lost
}

// lastSeen is when the last heartbeat of a machine came or, where it has not
// registered, when the cloud first listed it as running.
func (d *partitionDetector) lastSeen(machine *worker.Machine) event.Time {
	if booting := d.booting.get(machine.Index); machine.LastHeartbeat() == 0 && booting != nil {
		return booting.since
	}
	return machine.LastHeartbeat()
}
