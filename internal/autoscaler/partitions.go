package autoscaler

import (
	"log/slog"
	"time"

	"lugward/internal/event"
	"lugward/internal/pipeline"
	"lugward/internal/worker"
)

// partitionDetector detects partitioned zones, in which most machines are unresponsive
// or unreachable. No machines are provisioned in a partitioned zone, and its machines
// are kept longer before they are released.
type partitionDetector struct {
	names            *pipeline.Names
	workers          *worker.Registry
	booting          *bootingMachines
	log              *slog.Logger
	heartbeatTimeout time.Duration

	partitioned map[pipeline.ZoneIndex]bool // zones that the last update found partitioned
}

// reset clears the partitioned zones.
func (d *partitionDetector) reset() { d.partitioned = nil }

// isPartitioned reports whether a zone is partitioned from this controller.
func (d *partitionDetector) isPartitioned(zone pipeline.ZoneIndex) bool { return d.partitioned[zone] }

// runningByZone returns the running machines, by zone. It includes unresponsive
// machines, but no machines that are being decommissioned.
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

// update determines the partitioned zones from the running machines of each zone.
func (d *partitionDetector) update(zones map[pipeline.ZoneIndex][]*worker.Machine, now event.Time) {
	partitioned := map[pipeline.ZoneIndex]bool{}
	for zone, machines := range zones {
		disconnected := d.countDisconnected(machines, now)
		// A single disconnected machine does not indicate a partition of its zone.
		if disconnected <= 1 || 2*disconnected <= len(machines) {
			continue
		}
		partitioned[zone] = true
		if !d.partitioned[zone] {
			d.log.Info("zone partitioned: most of its machines are unresponsive or unreachable",
				"zone", d.names.Zones.Name(zone), "machines", len(machines), "unresponsive", disconnected)
		}
	}
	d.partitioned = partitioned
}

// countDisconnected counts the machines that are unresponsive or unreachable.
func (d *partitionDetector) countDisconnected(machines []*worker.Machine, now event.Time) int {
	disconnected := 0
	for _, machine := range machines {
		if now-d.lastSeen(machine) > d.heartbeatTimeout || machine.UnreachableSince() != 0 {
			disconnected++
		}
	}
	return disconnected
}

// lastSeen returns when the last heartbeat of a machine arrived. For a machine that has
// not registered it returns when the cloud first listed it as running.
func (d *partitionDetector) lastSeen(machine *worker.Machine) event.Time {
	if booting := d.booting.get(machine.Index); machine.LastHeartbeat() == 0 && booting != nil {
		return booting.since
	}
	return machine.LastHeartbeat()
}
