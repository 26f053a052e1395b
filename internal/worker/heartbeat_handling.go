package worker

import (
	"time"

	"lugward/internal/event"
	"lugward/internal/pipeline"
)

// HandleHeartbeat handles a heartbeat. It returns a RefusedError if the heartbeat does not
// describe the current state of its machine.
func (r *Registry) HandleHeartbeat(heartbeat *Heartbeat, now event.Time, leadership Leadership) error {
	machine := r.Add(heartbeat.Machine, now)
	if reason := machine.checkCurrent(heartbeat, now, leadership); reason != nil {
		return &RefusedError{
			Machine:     heartbeat.Machine,
			Incarnation: heartbeat.Incarnation,
			Sequence:    heartbeat.Sequence,
			Reason:      reason,
		}
	}
	leadership.RecordFencingToken(heartbeat.FencingToken)
	r.updateMachine(machine, heartbeat, now)
	tokenConfirmed := heartbeat.FencingToken == leadership.FencingToken()
	for i := range heartbeat.Tasks {
		r.handleTaskStatus(machine, &heartbeat.Tasks[i], tokenConfirmed, now)
	}
	// The tasks are handled before the check whether responses arrive: a task that this
	// heartbeat lists is on the machine, even if a copied heartbeat that arrived earlier
	// did not list it.
	r.checkReachable(machine, heartbeat, now, leadership)
	return nil
}

// RecordRelay records that the last heartbeat of a machine was relayed by another
// controller, because the machine cannot reach this controller directly.
func (r *Registry) RecordRelay(name string, now event.Time) {
	r.Add(name, now).relayedAt = now
}

// checkCurrent returns the reason for which a heartbeat is refused, or nil if it is
// accepted.
func (s *heartbeatState) checkCurrent(heartbeat *Heartbeat, now event.Time, leadership Leadership) error {
	switch {
	case s.isStale(heartbeat):
		return ErrStale
	case s.incarnationExpired(heartbeat, now, leadership):
		return ErrIncarnationExpired
	default:
		return nil
	}
}

// isStale reports whether a heartbeat is not newer than the last one.
func (s *heartbeatState) isStale(heartbeat *Heartbeat) bool {
	if heartbeat.Incarnation != s.incarnation {
		return heartbeat.Incarnation < s.incarnation
	}
	return heartbeat.Sequence <= s.sequence
}

// incarnationExpired reports whether the lease of a heartbeat's incarnation has expired
// since the last response to it.
func (s *heartbeatState) incarnationExpired(heartbeat *Heartbeat, now event.Time, leadership Leadership) bool {
	if heartbeat.Incarnation != s.incarnation || s.lastResponse <= 0 {
		return false
	}
	return now >= leadership.TasksExpireAt(max(s.lastResponse, s.lastHeartbeat))
}

// updateMachine records what a heartbeat reports about its machine.
func (r *Registry) updateMachine(machine *Machine, heartbeat *Heartbeat, now event.Time) {
	if heartbeat.Incarnation != machine.incarnation && machine.incarnation != 0 {
		machine.images = map[pipeline.ImageIndex]bool{}
		r.log.Info("worker started a new incarnation", "machine", heartbeat.Machine, "incarnation", heartbeat.Incarnation)
	}
	if machine.lastHeartbeat != 0 && now-machine.lastHeartbeat > r.heartbeatTimeout {
		machine.reconnectedAt = now
	}
	if machine.lastHeartbeat == 0 {
		machine.idleSince = now // the boot time does not count as idle time
		machine.firstHeartbeat = now
		r.jobs.RequestRound()
	}
	machine.addr = heartbeat.Addr
	machine.incarnation = heartbeat.Incarnation
	machine.sequence = heartbeat.Sequence
	machine.lastHeartbeat = now
	machine.Describe(r.names.MachineTypes.Index(heartbeat.MachineType), r.names.Zones.Index(heartbeat.Zone), heartbeat.Spot)
	r.updateReclaim(machine, heartbeat, now)
}

// updateReclaim records whether the cloud has announced that it will reclaim a machine.
func (r *Registry) updateReclaim(machine *Machine, heartbeat *Heartbeat, now event.Time) {
	switch {
	case heartbeat.ReclaimIn == nil:
		machine.reclaimAt = 0
	case machine.reclaimAt == 0:
		machine.reclaimAt = now + time.Duration(*heartbeat.ReclaimIn*float64(time.Second))
		r.jobs.RequestRound()
	}
}
