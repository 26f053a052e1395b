package autoscaler

import (
	"maps"
	"slices"
	"time"

	"lugward/internal/event"
	"lugward/internal/kv"
	"lugward/internal/worker"
)

const (
	scanInterval = 500 * time.Millisecond // between two scans of all machines
	// A machine that is up and does not report for heartbeatLossTimeout is lost. In a
	// partitioned zone the network is the likelier cause, and all machines that
	// were released would have to boot again once it is mended.
	heartbeatLossTimeout = 60 * time.Second
	partitionedTimeout   = 150 * time.Second
	// A machine that is up and has not confirmed our fencing token after
	// announceAfter gets it by a direct command. The connection to a silent
	// machine stays open for a while, so only one in announcementDivisor of all
	// sockets may be used for that at a time, and minAnnouncements at least: those
	// that answer free theirs at once, and the next tick goes on.
	announceAfter       = 2 * time.Second
	announcementDivisor = 32
	minAnnouncements    = 20
)

// scan is one look at all machines.
type scan struct {
	now         event.Time
	leadership  worker.Leadership
	term        kv.Compare    // of all writes
	silentAfter time.Duration // a machine without a report for so long is silent
	zones       map[int][]*worker.Machine
}

// Tick does what is due of the leader's work: it reads the machine list, releases
// machines and finds those that are lost.
func (a *Autoscaler) Tick(now event.Time, leadership worker.Leadership, term kv.Compare, out *event.Effects) {
	a.refreshMachineTypes(now, &term, out)
	a.sendRetries(now, out)
	a.releaseDecommissioned(now, term, out)
	if a.list.due(now, a.cfg.CloudRPS) && a.allowed(now) {
		a.readList(now, out)
	}
	scan := &scan{now: now, leadership: leadership, term: term, silentAfter: a.cfg.HeartbeatTimeout}
	if a.announcementsLeft {
		a.announceToken(scan, out)
	}
	if now-a.scannedAt < scanInterval {
		return
	}
	a.scannedAt = now
	a.updateUse(scan)
	scan.zones = a.zones()
	a.findPartitioned(scan)
	a.announceToken(scan, out)
	a.checkBooting(scan)
	if now-a.termBeganAt < a.cfg.SettleTime {
		return
	}
	a.releaseUnresponsive(scan)
	a.releaseUnused(scan)
}

// updateUse notes which machines are in use, and repeats the write of a retirement
// that was refused.
func (a *Autoscaler) updateUse(scan *scan) {
	for machine := range a.workers.All() {
		if a.hasTasks(machine) {
			machine.NoteInUse(scan.now)
		}
		if machine.Decommissioning() && a.decommissions.stored[machine.Name] == 0 && !a.decommissions.releasing[machine.Name] {
			a.Decommission(machine, scan.now, scan.term)
		}
	}
}

// hasTasks tells whether tasks may be on a machine.
func (a *Autoscaler) hasTasks(machine *worker.Machine) bool {
	return len(a.jobs.OnMachine(machine.Index)) > 0
}

// announceToken sends our fencing token to machines that reported and did not
// confirm it since, as that report may have been a copy, while the machine itself
// reports to another controller; and to those that are up by the cloud's list and
// have not reported.
func (a *Autoscaler) announceToken(scan *scan, out *event.Effects) {
	a.announcementsLeft = false
	limit := max(minAnnouncements, a.cfg.MaxConnections/announcementDivisor)
	for machine := range a.workers.All() {
		if !a.awaitsToken(machine, scan.now) {
			continue
		}
		if a.workers.Announcing() >= limit {
			a.announcementsLeft = true
			return
		}
		a.workers.AnnounceToken(machine, scan.now, scan.leadership, out)
	}
}

// awaitsToken tells whether a machine that is up has not shown our fencing token
// though it has had time to.
func (a *Autoscaler) awaitsToken(machine *worker.Machine, now event.Time) bool {
	if machine.LastHeartbeat() != 0 {
		return !machine.TokenConfirmed() && now-machine.LastHeartbeat() > announceAfter
	}
	booting := a.booting[machine.Index]
	return booting != nil && booting.up && now-booting.since > announceAfter
}

// checkBooting looks at the machines that have not reported: it forgets those that
// have by now and retires those that never will.
func (a *Autoscaler) checkBooting(scan *scan) {
	for _, index := range slices.Sorted(maps.Keys(a.booting)) {
		booting := a.booting[index]
		machine := a.workers.MachineAt(index)
		if machine == nil || machine.LastHeartbeat() > 0 {
			a.recordBootTime(booting, scan.now)
			delete(a.booting, index)
			a.jobs.RequestRound()
			continue
		}
		age := scan.now - booting.since
		timeout, known := a.registrationTimeout(booting, machine)
		if known && age > timeout {
			a.log.Info("machine never came up", "machine", machine.Name)
			delete(a.booting, index)
			a.Decommission(machine, scan.now, scan.term)
		}
	}
}

// registrationTimeout is within which time a booting machine must report. known is false
// where its type is not known.
func (a *Autoscaler) registrationTimeout(booting *bootingMachine, machine *worker.Machine) (timeout event.Time, known bool) {
	machineType := a.machineTypes.Get(booting.machineType)
	switch {
	case machineType == nil:
		return 0, false
	case !booting.up:
		return max(bootMin, a.bootTimeout(machineType, bootFactor)), true
	case a.partitioned[booting.zone]:
		return partitionedTimeout, true
	case a.hasTasks(machine):
		return heartbeatLossTimeout, true // its tasks may run on until its lease ends
	default:
		return bootMin, true
	}
}

// releaseUnused retires machines that are unreachable, lost or of no more use.
func (a *Autoscaler) releaseUnused(scan *scan) {
	for machine := range a.workers.All() {
		if !machine.Known() || machine.Decommissioning() {
			continue
		}
		partitioned := a.partitioned[machine.Zone()]
		if a.workers.UnreachableBeyondLease(machine, scan.now, scan.leadership) && !partitioned {
			a.log.Info("unreachable machine released", "machine", machine.Name)
			a.Decommission(machine, scan.now, scan.term)
			continue
		}
		if a.hasTasks(machine) || machine.LastHeartbeat() <= 0 {
			continue
		}
		timeout := heartbeatLossTimeout
		if partitioned {
			timeout = partitionedTimeout
		}
		lost := scan.now-machine.LastHeartbeat() > timeout
		if lost || a.isUnused(machine, scan.now) {
			a.Decommission(machine, scan.now, scan.term)
		}
	}
}

// isUnused tells whether a machine without tasks is of no more use.
func (a *Autoscaler) isUnused(machine *worker.Machine, now event.Time) bool {
	if machine.UnknownTasks() > 0 {
		return false // they have not been stopped yet
	}
	leaving := machine.Draining() || machine.ReclaimAt() != 0
	usedAt := max(machine.IdleSince(), machine.ReservedAt())
	return leaving || now-usedAt > a.cfg.IdleTimeout
}
