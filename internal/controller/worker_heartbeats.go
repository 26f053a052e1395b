package controller

import (
	"lugward/internal/event"
	"lugward/internal/httpwire"
	"lugward/internal/peer"
	"lugward/internal/worker"
)

// workerHeartbeats is what is kept of the heartbeats of workers.
type workerHeartbeats struct {
	parser   worker.HeartbeatParser
	pending  pendingHeartbeats
	received int // that workers have sent to this controller, relayed ones left out
}

func newWorkerHeartbeats(maxConnections int) workerHeartbeats {
	return workerHeartbeats{pending: newPendingHeartbeats(maxConnections / idleSocketDivisor)}
}

// replyTarget is where the answer to a worker's heartbeat goes: to a connection of
// ours or, for a heartbeat that a peer has relayed, back through that peer.
type replyTarget struct {
	conn    uint64 // of ours, if relayID is 0
	peer    int    // index of the relaying peer, if relayID is not 0
	relayID uint64 // the peer's number of the relayed heartbeat
}

// relayed reports whether the heartbeat came through a peer.
func (t replyTarget) relayed() bool { return t.relayID != 0 }

// handleWorkerHeartbeat handles a heartbeat that a worker has sent to us.
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
		c.election.ObserveFencingToken(heartbeat.FencingToken)
		c.forwardToLeader(now, request, heartbeat, out)
		return
	}
	if c.redirectToRelayingPeer(now, request, heartbeat, out) {
		return
	}
	c.acceptWorkerHeartbeat(now, replyTarget{conn: request.Conn}, heartbeat, out)
}

// handleRelayedHeartbeat handles, as leader, a worker's heartbeat that a peer has
// relayed.
func (c *Controller) handleRelayedHeartbeat(now event.Time, from int, frame *peer.Frame, out *event.Effects) {
	replyTo := replyTarget{peer: from, relayID: frame.ID}
	heartbeat, err := c.heartbeats.parser.Parse(frame.Body)
	if err != nil || !c.mayAnswerWorkers(now) {
		c.respond(replyTo, httpwire.StatusServiceUnavailable, nil, out)
		return
	}
	c.acceptWorkerHeartbeat(now, replyTo, heartbeat, out)
}

// acceptWorkerHeartbeat applies a worker's heartbeat as leader, whichever way it
// came. Its answer follows when its consequences are stored.
func (c *Controller) acceptWorkerHeartbeat(now event.Time, replyTo replyTarget, heartbeat *worker.Heartbeat, out *event.Effects) {
	if c.autoscaler.Released(heartbeat.Machine) || c.workers.HandleHeartbeat(heartbeat, now, c.election) != nil {
		c.respond(replyTo, httpwire.StatusServiceUnavailable, nil, out)
		return
	}
	if replyTo.relayed() {
		c.workers.RecordRelay(heartbeat.Machine, now)
	}
	c.leadership.observeWorker(now)
	c.awaitAnswer(now, replyTo, heartbeat, out)
	if !c.actAsLeader(now, out) {
		c.store.Tick(now, out)
	}
	c.answerHeartbeats(now, out)
}

// awaitAnswer lets a heartbeat wait for its answer.
func (c *Controller) awaitAnswer(now event.Time, replyTo replyTarget, heartbeat *worker.Heartbeat, out *event.Effects) {
	replaced := c.heartbeats.pending.add(&pendingHeartbeat{
		replyTo:    replyTo,
		heartbeat:  heartbeat,
		machine:    c.names.Machines.Index(heartbeat.Machine),
		receivedAt: now,
	})
	if replaced != nil {
		// The worker has sent a newer heartbeat, so it no longer waits for the
		// answer to the older one, whose list of tasks proves nothing any more.
		c.respond(replaced.replyTo, httpwire.StatusServiceUnavailable, nil, out)
	}
}

// respond sends an answer to wherever its heartbeat came from.
func (c *Controller) respond(to replyTarget, status int, body []byte, out *event.Effects) {
	switch {
	case to.relayed():
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
