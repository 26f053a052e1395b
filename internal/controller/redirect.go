package controller

import (
	"hash/fnv"

	"lugward/internal/event"
	"lugward/internal/worker"
)

// redirectToRelay sends a worker that the leader has no socket for to another controller, which
// sees by the fencing token that the leader has served it and relays its reports: so
// the sockets of all controllers carry workers, where else the worker would have to
// dial the leader anew for each report. One that is back soon is served here, as that
// controller does not reach us or has ended. It tells whether the worker was sent away;
// what its report says comes again with the next one.
func (c *Controller) redirectToRelay(now event.Time, r event.Request, report *worker.Heartbeat, out *event.Effects) bool {
	if !r.ConnectionLimitReached || report.FencingToken != c.election.FencingToken() {
		return false
	}
	machine := c.workers.Lookup(report.Machine)
	if machine == nil {
		return false
	}
	if machine.RedirectedAt() != 0 && now-machine.RedirectedAt() < redirectWindow {
		return false
	}
	label := c.relayingPeer(report.Machine)
	if label == "" {
		return false
	}
	machine.NoteRedirect(now)
	redirectTo(label, r.Conn, out)
	return true
}

// relayingPeer picks, among the controllers that are alive, the one that relays for a
// machine, so that machines are spread evenly; "" if none is alive.
func (c *Controller) relayingPeer(machine string) string {
	var labels []string
	for _, p := range c.peers {
		if c.isAlive(p) {
			labels = append(labels, p.label)
		}
	}
	if len(labels) == 0 {
		return ""
	}
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(machine))
	return labels[int(hash.Sum32())%len(labels)]
}
