package autoscaler

import (
	"log/slog"
	"time"

	"lugward/internal/event"
	"lugward/internal/kv"
	"lugward/internal/pipeline"
	"lugward/internal/worker"
)

const (
	// A machine that was running and sends no heartbeat for heartbeatLossTimeout is lost. In a
	// partitioned zone partitionedLossTimeout applies instead: the network is the likelier
	// cause, and machines that were released would all have to boot again after the
	// partition.
	heartbeatLossTimeout   = 60 * time.Second
	partitionedLossTimeout = 150 * time.Second
)

// scan holds the parameters of one pass over all machines.
type scan struct {
	now        event.Time
	leadership worker.Leadership
	term       kv.Compare                               // condition on the term, for all writes
	zones      map[pipeline.ZoneIndex][]*worker.Machine // running machines, by zone
}

// scaleIn determines which machines to decommission.
type scaleIn struct {
	jobs             *pipeline.Table
	workers          *worker.Registry
	catalog          *machineTypeCatalog
	bootTimes        *bootTimes
	booting          *bootingMachines
	partitions       *partitionDetector
	decommissions    *decommissions
	log              *slog.Logger
	heartbeatTimeout time.Duration
	idleTimeout      time.Duration
}

// updateUsage records which machines are in use, and repeats the write of decommissions
// that have not been persisted.
func (s *scaleIn) updateUsage(scan *scan) {
	for machine := range s.workers.All() {
		if s.hasTasks(machine) {
			machine.RecordInUse(scan.now)
		}
		if machine.Decommissioning() && !s.decommissions.isDecommissioned(machine.Name) {
			s.decommissions.start(machine, scan.now, scan.term)
		}
	}
}

// hasTasks reports whether tasks may be on a machine.
func (s *scaleIn) hasTasks(machine *worker.Machine) bool {
	return s.jobs.AssignmentCount(machine.Index) > 0
}

// checkBooting checks the booting machines. It removes those that have registered and
// decommissions those that have not registered within their registration timeout.
func (s *scaleIn) checkBooting(scan *scan) {
	for index, booting := range s.booting.all() {
		machine := s.workers.MachineAt(index)
		if machine == nil || machine.LastHeartbeat() > 0 {
			s.booting.recordBoot(booting, scan.now)
			s.booting.remove(index)
			s.jobs.RequestRound()
			continue
		}
		age := scan.now - booting.since
		timeout, known := s.registrationTimeout(booting, machine)
		if known && age > timeout {
			s.log.Info("decommissioning machine that did not register in time", "machine", machine.Name)
			s.booting.remove(index)
			s.decommissions.start(machine, scan.now, scan.term)
		}
	}
}

// registrationTimeout returns the time within which a booting machine must register,
// that is, send its first heartbeat. known is false if its machine type is unknown.
func (s *scaleIn) registrationTimeout(booting *bootingMachine, machine *worker.Machine) (timeout event.Time, known bool) {
	machineType := s.catalog.get(booting.pool.machineType)
	switch {
	case machineType == nil:
		return 0, false
	case !booting.running:
		return max(minBootTimeout, s.bootTimes.timeout(machineType, bootTimeoutFactor)), true
	case s.partitions.isPartitioned(booting.pool.zone):
		return partitionedLossTimeout, true
	case s.hasTasks(machine):
		return heartbeatLossTimeout, true // its tasks may keep running until its lease expires
	default:
		return minBootTimeout, true
	}
}

// decommissionUnused decommissions machines that are unreachable, lost or unused.
func (s *scaleIn) decommissionUnused(scan *scan) {
	for machine := range s.workers.All() {
		if !machine.Known() || machine.Decommissioning() {
			continue
		}
		partitioned := s.partitions.isPartitioned(machine.Zone())
		if s.workers.UnreachableBeyondLease(machine, scan.now, scan.leadership) && !partitioned {
			s.log.Info("decommissioning unreachable machine", "machine", machine.Name)
			s.decommissions.start(machine, scan.now, scan.term)
			continue
		}
		if s.hasTasks(machine) || machine.LastHeartbeat() <= 0 {
			continue
		}
		if isLost(machine, scan.now, partitioned) || s.isUnused(machine, scan.now) {
			s.decommissions.start(machine, scan.now, scan.term)
		}
	}
}

// isLost reports whether a registered machine has sent no heartbeat for so long that it
// is not expected to reconnect.
func isLost(machine *worker.Machine, now event.Time, partitioned bool) bool {
	timeout := heartbeatLossTimeout
	if partitioned {
		timeout = partitionedLossTimeout
	}
	return now-machine.LastHeartbeat() > timeout
}

// isUnused reports whether a machine without assigned tasks can be released: it is
// draining, the cloud is about to reclaim it, or it has neither run tasks nor been
// reserved for idleTimeout.
func (s *scaleIn) isUnused(machine *worker.Machine, now event.Time) bool {
	if machine.UnknownTasks() > 0 {
		return false // the unknown tasks have not been terminated yet
	}
	leaving := machine.Draining() || machine.ReclaimAt() != 0
	usedAt := max(machine.IdleSince(), machine.ReservedAt())
	return leaving || now-usedAt > s.idleTimeout
}

// decommissionUnneeded decommissions booting machines that no plan has needed for twice
// idleTimeout: the tasks that they were provisioned for have ended or have found
// capacity elsewhere.
func (s *scaleIn) decommissionUnneeded(forecast *capacityForecast) {
	for index, capacity := range forecast.booting {
		booting := s.booting.get(index)
		machine := s.workers.MachineAt(index)
		switch {
		case capacity == nil || capacity.InUse:
			booting.unneededSince = 0
		case booting.unneededSince == 0:
			booting.unneededSince = forecast.now
		case forecast.now-booting.unneededSince > 2*s.idleTimeout && !s.hasTasks(machine):
			machine.StartDecommission() // the next scan persists the decommission
		}
	}
}
