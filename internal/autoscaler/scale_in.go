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
	// A machine that is up and sends no heartbeat for heartbeatLossTimeout is lost. In a
	// partitioned zone the network is the likelier cause, and all machines that were
	// released would have to boot again once it is mended.
	heartbeatLossTimeout = 60 * time.Second
	partitionedTimeout   = 150 * time.Second
)

// scan is one look at all machines.
type scan struct {
	now        event.Time
	leadership worker.Leadership
	term       kv.Compare                               // condition of all writes
	zones      map[pipeline.ZoneIndex][]*worker.Machine // the running machines of each zone
}

// scaleIn decides which machines are decommissioned.
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

// updateUse notes which machines are in use, and repeats a decommission that is not
// stored yet.
func (s *scaleIn) updateUse(scan *scan) {
	for machine := range s.workers.All() {
		if s.hasTasks(machine) {
			machine.NoteInUse(scan.now)
		}
		if machine.Decommissioning() && !s.decommissions.isLeaving(machine.Name) {
			s.decommissions.start(machine, scan.now, scan.term)
		}
	}
}

// hasTasks reports whether tasks may be on a machine.
func (s *scaleIn) hasTasks(machine *worker.Machine) bool {
	return len(s.jobs.OnMachine(machine.Index)) > 0
}

// checkBooting looks at the machines that are expected to register: it forgets those
// that have by now and decommissions those whose timeout has passed.
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
			s.log.Info("boot timeout", "machine", machine.Name)
			s.booting.remove(index)
			s.decommissions.start(machine, scan.now, scan.term)
		}
	}
}

// registrationTimeout is within which time a booting machine must register, that is,
// send its first heartbeat. known is false where its type is not known.
func (s *scaleIn) registrationTimeout(booting *bootingMachine, machine *worker.Machine) (timeout event.Time, known bool) {
	machineType := s.catalog.get(booting.pool.machineType)
	switch {
	case machineType == nil:
		return 0, false
	case !booting.running:
		return max(minBootTimeout, s.bootTimes.timeout(machineType, bootTimeoutFactor)), true
	case s.partitions.isPartitioned(booting.pool.zone):
		return partitionedTimeout, true
	case s.hasTasks(machine):
		return heartbeatLossTimeout, true // its tasks may run on until its lease expires
	default:
		return minBootTimeout, true
	}
}

// decommissionUnused decommissions machines that are unreachable, lost or of no more
// use.
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

// isLost reports whether a registered machine has missed heartbeats for so long that it
// is not expected to come back.
func isLost(machine *worker.Machine, now event.Time, partitioned bool) bool {
	timeout := heartbeatLossTimeout
	if partitioned {
		timeout = partitionedTimeout
	}
	return now-machine.LastHeartbeat() > timeout
}

// isUnused reports whether a machine without tasks is of no more use.
func (s *scaleIn) isUnused(machine *worker.Machine, now event.Time) bool {
	if machine.UnknownTasks() > 0 {
		return false // they have not been terminated yet
	}
	leaving := machine.Draining() || machine.ReclaimAt() != 0
	usedAt := max(machine.IdleSince(), machine.ReservedAt())
	return leaving || now-usedAt > s.idleTimeout
}

// decommissionUnneeded decommissions booting machines that no plan has used for long:
// what they were provisioned for is done or has found capacity elsewhere.
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
			machine.StartDecommission() // the next scan stores that
		}
	}
}
