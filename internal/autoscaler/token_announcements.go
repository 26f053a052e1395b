package autoscaler

import (
	"time"

	"lugward/internal/event"
	"lugward/internal/worker"
)

const (
	// announceDelay is how long a running machine may take to confirm this controller's
	// fencing token before it is sent the token in a direct command.
	announceDelay = 2 * time.Second
	// The connection to an unresponsive machine stays open for a while. Announcements may
	// therefore use at most 1/announcementDivisor of all sockets at a time, but at least
	// minAnnouncements sockets. Machines that respond free their socket immediately, and
	// the next tick continues with the remaining machines.
	announcementDivisor = 32
	minAnnouncements    = 20
)

// tokenAnnouncer announces this controller's fencing token to machines that have not
// confirmed it.
type tokenAnnouncer struct {
	workers     *worker.Registry
	booting     *bootingMachines
	maxInFlight int

	incomplete bool // the last pass reached maxInFlight before it covered all machines
}

// maxAnnouncements returns how many announcements may be in flight at a time.
func maxAnnouncements(maxConnections int) int {
	return max(minAnnouncements, maxConnections/announcementDivisor)
}

// reset discards the state of an incomplete pass.
func (t *tokenAnnouncer) reset() { t.incomplete = false }

// announce sends this controller's fencing token to machines that have sent a heartbeat
// but have not confirmed the token: the heartbeat may have been a duplicate, while the
// machine itself sends its heartbeats to another controller. It also sends the token to
// machines that the cloud lists as running but that have not registered.
func (t *tokenAnnouncer) announce(now event.Time, leadership worker.Leadership, out *event.Effects) {
	t.incomplete = false
	for machine := range t.workers.All() {
		if !t.awaitsToken(machine, now) {
			continue
		}
		if t.workers.AnnouncementsInFlight() >= t.maxInFlight {
			t.incomplete = true
			return
		}
		t.workers.AnnounceToken(machine, now, leadership, out)
	}
}

// awaitsToken reports whether a running machine has not confirmed this controller's
// fencing token within announceDelay.
func (t *tokenAnnouncer) awaitsToken(machine *worker.Machine, now event.Time) bool {
	if machine.LastHeartbeat() != 0 {
		return !machine.TokenConfirmed() && now-machine.LastHeartbeat() > announceDelay
	}
	booting := t.booting.get(machine.Index)
	return booting != nil && booting.running && now-booting.since > announceDelay
}
