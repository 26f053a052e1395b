package controller

import (
	"lugward/internal/event"
	"lugward/internal/httpwire"
	"lugward/internal/peer"
	"lugward/internal/worker"
)

// workerHeartbeats is the state for handling the heartbeats of workers.
type workerHeartbeats struct {
	parser   worker.HeartbeatParser
	pending  pendingHeartbeats
	received int // heartbeats that workers sent to this controller, without relayed ones
}

func newWorkerHeartbeats(maxConnections int) workerHeartbeats {
	return workerHeartbeats{pending: newPendingHeartbeats(maxConnections / extendedSocketDivisor)}
}

// replyTarget is the destination of the response to a worker's heartbeat: a connection of
// this controller or, for a relayed heartbeat, the peer that relayed it.
type replyTarget struct {
	conn    uint64 // ID of the connection to this controller, if relayID is 0
	peer    int    // index of the relaying peer, if relayID is not 0
	relayID uint64 // the peer's ID of the relayed heartbeat, 0 if it was not relayed
	machine string // machine of a relayed heartbeat, for the log
}

// relayed reports whether the heartbeat was relayed by a peer.
func (t replyTarget) relayed() bool { return t.relayID != 0 }

// handleWorkerHeartbeat handles a heartbeat that a worker sent to this controller.
func (c *Controller) handleWorkerHeartbeat(now event.Time, request event.Request, out *event.Effects) {
	if request.Method != methodPost {
		out.Reply(request.Conn, httpwire.StatusMethodNotAllowed, nil)
		return
	}
	c.heartbeats.received++
	heartbeat, err := c.heartbeats.parser.Parse(request.Body)
	if err != nil {
		out.Reply(request.Conn, httpwire.StatusBadRequest, nil)
		return
	}
	c.leadership.resignedWithoutHeartbeats = false
	if !c.mayAnswerWorkers(now) {
		c.election.RecordFencingToken(heartbeat.FencingToken)
		c.forwardToLeader(now, request, heartbeat, out)
		return
	}
	if c.redirectToRelayingPeer(now, request, heartbeat, out) {
		return
	}
	c.handleHeartbeatAsLeader(now, replyTarget{conn: request.Conn}, heartbeat, out)
}

// handleRelayedHeartbeat handles a worker's heartbeat that a peer has relayed. It replies
// with 503 if this controller does not lead. from is the index of the peer.
func (c *Controller) handleRelayedHeartbeat(now event.Time, from int, frame *peer.Frame, out *event.Effects) {
	replyTo := replyTarget{peer: from, relayID: frame.ID}
	heartbeat, err := c.heartbeats.parser.Parse(frame.Body)
	if err != nil || !c.mayAnswerWorkers(now) {
		c.respond(replyTo, httpwire.StatusServiceUnavailable, nil, out)
		return
	}
	replyTo.machine = heartbeat.Machine
	c.log.Debug("handling relayed heartbeat", "relay", frame.ID, "peer", frame.Label, "machine", heartbeat.Machine,
		"incarnation", heartbeat.Incarnation, "sequence", heartbeat.Sequence)
	c.handleHeartbeatAsLeader(now, replyTo, heartbeat, out)
}

// handleHeartbeatAsLeader handles a direct or relayed heartbeat of a worker as leader. The
// heartbeat is answered once the resulting changes are persisted.
func (c *Controller) handleHeartbeatAsLeader(now event.Time, replyTo replyTarget, heartbeat *worker.Heartbeat, out *event.Effects) {
	if c.autoscaler.Released(heartbeat.Machine) || c.workers.HandleHeartbeat(heartbeat, now, c.election) != nil {
		c.respond(replyTo, httpwire.StatusServiceUnavailable, nil, out)
		return
	}
	if replyTo.relayed() {
		c.workers.RecordRelay(heartbeat.Machine, now)
	}
	c.leadership.recordWorkerHeartbeat(now)
	c.addPendingHeartbeat(now, replyTo, heartbeat, out)
	if !c.runLeaderWork(now, out) {
		c.store.Tick(now, out)
	}
	c.answerHeartbeats(now, out)
}

// addPendingHeartbeat adds a heartbeat to the pending ones. It replies with 503 to an
// earlier heartbeat of the same machine that is still pending.
func (c *Controller) addPendingHeartbeat(now event.Time, replyTo replyTarget, heartbeat *worker.Heartbeat, out *event.Effects) {
	replaced := c.heartbeats.pending.add(&pendingHeartbeat{
		replyTo:    replyTo,
		heartbeat:  heartbeat,
		machine:    c.names.Machines.Index(heartbeat.Machine),
		receivedAt: now,
	})
	if replaced != nil {
		// The worker has sent a newer heartbeat, so it no longer waits for the response to
		// the older one. The task list of the older one is outdated and proves nothing.
		c.respond(replaced.replyTo, httpwire.StatusServiceUnavailable, nil, out)
	}
}

// respond sends the response to a heartbeat to its reply target.
func (c *Controller) respond(to replyTarget, status int, body []byte, out *event.Effects) {
	switch {
	case to.relayed():
		c.log.Debug("answering relayed heartbeat",
			"relay", to.relayID, "peer", c.peers.list[to.peer].label, "machine", to.machine, "status", status, "bytes", len(body))
		out.SendFrame(to.peer, peer.Append(nil, &peer.Frame{
			Kind:   peer.RelayAck,
			Label:  c.cfg.Label,
			ID:     to.relayID,
			Status: uint16(status),
			Body:   body,
		}))
	case status == httpwire.StatusServiceUnavailable:
		out.ReplyUnavailable(to.conn, retryAfterSeconds)
	default:
		out.Reply(to.conn, status, body)
	}
}
