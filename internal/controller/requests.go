package controller

import (
	"lugward/internal/event"
	"lugward/internal/httpwire"
	"lugward/internal/peer"
	"lugward/internal/worker"
)

const (
	pathHealth    = "/healthz"
	pathHeartbeat = "/hello"
	methodPost    = "POST"

	// retryAfterSeconds is when a client that we cannot serve should come back.
	retryAfterSeconds = 1
)

// replyTo is where the answer to a report goes: to a connection of ours or,
// for a report that a peer has relayed, back through that peer.
type replyTo struct {
	conn    uint64 // of ours, if relayID is 0
	peer    int    // the relaying one, if relayID is not 0
	relayID uint64 // the peer's number of the relayed report
}

// HandleRequest takes an HTTP request. It is answered once, at once or later.
func (c *Controller) HandleRequest(now event.Time, r event.Request, out *event.Effects) {
	switch {
	case r.Path == pathHealth:
		c.handleHealth(now, r, out)
	case r.Path == pathHeartbeat:
		if r.Method != methodPost {
			out.Reply(r.Conn, httpwire.StatusMethodNotAllowed, nil)
			return
		}
		c.handleHeartbeat(now, r, out)
	case c.api.Handle(now, r, out):
		c.store.Tick(now, out)
	default:
		out.Reply(r.Conn, httpwire.StatusNotFound, nil)
	}
}

// handleHeartbeat takes a report that a worker has sent to us.
func (c *Controller) handleHeartbeat(now event.Time, r event.Request, out *event.Effects) {
	c.work.Heartbeats++
	report, err := c.parser.Parse(r.Body)
	if err != nil {
		out.Reply(r.Conn, httpwire.StatusBadRequest, nil)
		return
	}
	c.leadership.resignedWithoutHeartbeat = false
	if !c.mayAnswerHeartbeats(now) {
		c.election.ObserveFencingToken(report.FencingToken)
		c.relayOrRedirect(now, r, report, out)
		return
	}
	if c.redirectToRelay(now, r, report, out) {
		return
	}
	c.acceptHeartbeat(now, replyTo{conn: r.Conn}, report, out)
}

// mayAnswerHeartbeats tells whether we may take and answer reports as leader.
func (c *Controller) mayAnswerHeartbeats(now event.Time) bool {
	return c.leadership.active && c.election.MayRenewWorkerLeases(now)
}

// acceptHeartbeat takes a report as leader, from a worker or through a peer. Its
// answer follows when its consequences are stored.
func (c *Controller) acceptHeartbeat(now event.Time, from replyTo, report *worker.Heartbeat, out *event.Effects) {
	if c.autoscaler.Released(report.Machine) || !c.workers.HandleHeartbeat(report, now, c.election) {
		c.respond(from, httpwire.StatusServiceUnavailable, nil, out)
		return
	}
	if from.relayID != 0 {
		c.workers.RecordRelay(report.Machine, now)
	}
	c.leadership.lastHeartbeat = now
	c.leadership.resignedWithoutHeartbeat = false
	waiting := &pendingHeartbeat{
		from:      from,
		heartbeat: report,
		machine:   c.names.Machines.Index(report.Machine),
		since:     now,
	}
	// The worker has sent a newer report, so it no longer waits for the answer
	// to the older one, whose list of tasks proves nothing any more.
	if replaced := c.pending.add(waiting); replaced != nil {
		c.respond(replaced.from, httpwire.StatusServiceUnavailable, nil, out)
	}
	if c.election.IsLeader(now) {
		c.actAsLeader(now, out)
	}
	c.store.Tick(now, out)
	c.answerHeartbeats(now, out)
}

// respond sends an answer to wherever its report came from.
func (c *Controller) respond(to replyTo, status int, body []byte, out *event.Effects) {
	switch {
	case to.relayID != 0:
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
