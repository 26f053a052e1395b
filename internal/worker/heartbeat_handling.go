package worker

import (
	"time"

	"lugward/internal/event"
	"lugward/internal/pipeline"
)

// HandleHeartbeat takes a heartbeat in. It returns a RefusedError for one that tells
// nothing of the present state of its machine.
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
	leadership.ObserveFencingToken(heartbeat.FencingToken)
	r.updateMachine(machine, heartbeat, now)
	for i := range heartbeat.Tasks {
		r.handleTaskStatus(machine, &heartbeat.Tasks[i], now)
	}
	// The tasks come before the question whether our responses arrive: what the
	// heartbeat shows is there, whatever a copy that came before did not show.
	r.checkReachable(machine, heartbeat, now, leadership)
	return nil
}

// RecordRelay records that the last heartbeat of a machine came through another
// controller: the machine does not reach us itself.
func (r *Registry) RecordRelay(name string, now event.Time) {
	r.Add(name, now).relayedAt = now
}

// checkCurrent returns the reason for which a heartbeat is refused, nil if it is not.
func (c *contact) checkCurrent(heartbeat *Heartbeat, now event.Time, leadership Leadership) error {
	switch {
	case c.isStale(heartbeat):
		return ErrStale
	case c.incarnationExpired(heartbeat, now, leadership):
		return ErrIncarnationExpired
	default:
		return nil
	}
}

// isStale reports whether a heartbeat is not newer than the last one.
func (c *contact) isStale(heartbeat *Heartbeat) bool {
	if heartbeat.Incarnation != c.incarnation {
		return heartbeat.Incarnation < c.incarnation
	}
	return heartbeat.Sequence <= c.sequence
}

// incarnationExpired reports whether the lease of a heartbeat's incarnation has expired
// since the last response to it.
func (c *contact) incarnationExpired(heartbeat *Heartbeat, now event.Time, leadership Leadership) bool {
	if heartbeat.Incarnation != c.incarnation || c.lastResponse <= 0 {
		return false
	}
	return now >= leadership.TasksExpireAt(max(c.lastResponse, c.lastHeartbeat))
}

// updateMachine takes in what a heartbeat says of its machine.
func (r *Registry) updateMachine(machine *Machine, heartbeat *Heartbeat, now event.Time) {
	if heartbeat.Incarnation != machine.incarnation && machine.incarnation != 0 {
		machine.images = map[pipeline.ImageIndex]bool{}
		r.log.Info("worker began a new incarnation", "machine", heartbeat.Machine, "incarnation", heartbeat.Incarnation)
	}
	if machine.lastHeartbeat != 0 && now-machine.lastHeartbeat > r.heartbeatTimeout {
		machine.reconnectedAt = now
	}
	if machine.lastHeartbeat == 0 {
		machine.idleSince = now // it was not idle while it booted
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

// updateReclaim takes in whether the cloud is about to reclaim a machine.
func (r *Registry) updateReclaim(machine *Machine, heartbeat *Heartbeat, now event.Time) {
	switch {
	case heartbeat.ReclaimIn == nil:
		machine.reclaimAt = 0
	case machine.reclaimAt == 0:
		machine.reclaimAt = now + time.Duration(*heartbeat.ReclaimIn*float64(time.Second))
		r.jobs.RequestRound()
	}
}
