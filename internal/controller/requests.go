package controller

import (
	"lugward/internal/event"
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
func (n *Controller) HandleRequest(now event.Time, r event.Request, out *event.Effects) {
	switch {
	case r.Path == pathHealth:
		n.handleHealth(now, r, out)
	case r.Path == pathHeartbeat:
		if r.Method != methodPost {
			out.Reply(r.Conn, event.StatusMethodNotAllowed, nil)
			return
		}
		n.handleHeartbeat(now, r, out)
	case n.api.Handle(now, r, out):
		n.store.Tick(now, out)
	default:
		out.Reply(r.Conn, event.StatusNotFound, nil)
	}
}

// handleHeartbeat takes a report that a worker has sent to us.
func (n *Controller) handleHeartbeat(now event.Time, r event.Request, out *event.Effects) {
	n.work.Heartbeats++
	report, err := n.parser.Parse(r.Body)
	if err != nil {
		out.Reply(r.Conn, event.StatusBadRequest, nil)
		return
	}
	n.leadership.resignedWithoutHeartbeat = false
	if !n.mayAnswerHeartbeats(now) {
		n.election.ObserveToken(report.FencingToken)
		n.relayOrRedirect(now, r, report, out)
		return
	}
	if n.redirectToRelay(now, r, report, out) {
		return
	}
	n.acceptHeartbeat(now, replyTo{conn: r.Conn}, report, out)
}

// mayAnswerHeartbeats tells whether we may take and answer reports as leader.
func (n *Controller) mayAnswerHeartbeats(now event.Time) bool {
	return n.leadership.active && n.election.MayRenewWorkers(now)
}

// acceptHeartbeat takes a report as leader, from a worker or through a peer. Its
// answer follows when its consequences are stored.
func (n *Controller) acceptHeartbeat(now event.Time, from replyTo, report *worker.Heartbeat, out *event.Effects) {
	if n.autoscaler.Released(report.Machine) || !n.workers.HandleHeartbeat(report, now, n.election) {
		n.respond(from, event.StatusServiceUnavailable, nil, out)
		return
	}
	if from.relayID != 0 {
		n.workers.RecordRelay(report.Machine, now)
	}
	n.leadership.lastHeartbeat = now
	n.leadership.resignedWithoutHeartbeat = false
	waiting := &pendingHeartbeat{
		from:      from,
		heartbeat: report,
		machine:   n.names.Machines.Index(report.Machine),
		since:     now,
	}
	// The worker has sent a newer report, so it no longer waits for the answer
	// to the older one, whose list of tasks proves nothing any more.
	if replaced := n.pending.add(waiting); replaced != nil {
		n.respond(replaced.from, event.StatusServiceUnavailable, nil, out)
	}
	if n.election.MayAct(now) {
		n.actAsLeader(now, out)
	}
	n.store.Tick(now, out)
	n.answerHeartbeats(now, out)
}

// respond sends an answer to wherever its report came from.
func (n *Controller) respond(to replyTo, status int, body []byte, out *event.Effects) {
	switch {
	case to.relayID != 0:
		out.Send(to.peer, peer.Append(nil, &peer.Frame{
			Kind:   peer.RelayAck,
			Label:  n.cfg.Label,
			ID:     to.relayID,
			Status: uint16(status),
			Body:   body,
		}))
	case status == event.StatusServiceUnavailable:
		out.Unavailable(to.conn, retryAfterSeconds)
	default:
		out.Reply(to.conn, status, body)
	}
}
