package autoscaler

import (
	"time"

	"lugward/internal/event"
	"lugward/internal/worker"
)

const (
	// A machine that is up and has not confirmed our fencing token after announceAfter
	// gets it by a direct command.
	announceAfter = 2 * time.Second
	// The connection to an unresponsive machine stays open for a while, so only one in
	// announcementDivisor of all sockets may be used for announcements at a time, and
	// minAnnouncements at least: machines that answer free theirs at once, and the next
	// tick goes on.
	announcementDivisor = 32
	minAnnouncements    = 20
)

// tokenAnnouncer announces our fencing token to machines that have not confirmed it.
type tokenAnnouncer struct {
	workers     *worker.Registry
	booting     *bootingMachines
	maxInFlight int

	incomplete bool // machines wait for an announcement
}

// maxAnnouncements is how many announcements may be in flight at a time.
func maxAnnouncements(maxConnections int) int {
	return max(minAnnouncements, maxConnections/announcementDivisor)
}

// reset forgets that machines wait.
func (t *tokenAnnouncer) reset() { t.incomplete = false }

// announce sends our fencing token to machines whose last heartbeat has not been
// followed by a confirmation, as that heartbeat may have been a copy, while the machine
// itself sends its heartbeats to another controller; and to those that the cloud lists
// as running and that have not registered.
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

// awaitsToken reports whether a machine that is up has not confirmed our fencing token
// though it has had time to.
func (t *tokenAnnouncer) awaitsToken(machine *worker.Machine, now event.Time) bool {
	if machine.LastHeartbeat() != 0 {
		return !machine.TokenConfirmed() && now-machine.LastHeartbeat() > announceAfter
	}
	booting := t.booting.get(machine.Index)
	return booting != nil && booting.running && now-booting.since > announceAfter
}
