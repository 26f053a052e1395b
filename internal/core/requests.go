package core

import (
	"lugward/internal/event"
	"lugward/internal/peer"
	"lugward/internal/worker"
)

const (
	pathHealth = "/healthz"
	pathReport = "/hello"
	methodPost = "POST"

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

// Request takes an HTTP request. It is answered once, at once or later.
func (n *Node) Request(now event.Time, r event.Request, out *event.Effects) {
	switch {
	case r.Path == pathHealth:
		n.handleHealth(now, r, out)
	case r.Path == pathReport:
		if r.Method != methodPost {
			out.Reply(r.Conn, event.StatusMethodNotAllowed, nil)
			return
		}
		n.handleReport(now, r, out)
	case n.api.Handle(now, r, out):
		n.store.Tick(now, out)
	default:
		out.Reply(r.Conn, event.StatusNotFound, nil)
	}
}

// handleReport takes a report that a worker has sent to us.
func (n *Node) handleReport(now event.Time, r event.Request, out *event.Effects) {
	n.work.Reports++
	report, err := n.parser.Parse(r.Body)
	if err != nil {
		out.Reply(r.Conn, event.StatusBadRequest, nil)
		return
	}
	n.leadership.resignedUnheard = false
	if !n.leadsReports(now) {
		n.election.ObserveToken(report.FencingToken)
		n.relayOrRedirect(now, r, report, out)
		return
	}
	if n.divert(now, r, report, out) {
		return
	}
	n.takeReport(now, replyTo{conn: r.Conn}, report, out)
}

// leadsReports tells whether we may take and answer reports as leader.
func (n *Node) leadsReports(now event.Time) bool {
	return n.leadership.active && n.election.MayAnswer(now)
}

// takeReport takes a report as leader, from a worker or through a peer. Its
// answer follows when its consequences are stored.
func (n *Node) takeReport(now event.Time, from replyTo, report *worker.Report, out *event.Effects) {
	if n.autoscaler.Released(report.Machine) || !n.workers.TakeReport(report, now, n.election) {
		n.respond(from, event.StatusServiceUnavailable, nil, out)
		return
	}
	if from.relayID != 0 {
		n.workers.MarkRelayed(report.Machine, now)
	}
	n.leadership.lastReport = now
	n.leadership.resignedUnheard = false
	waiting := &waitingReport{
		from:    from,
		report:  report,
		machine: n.names.Machines.Index(report.Machine),
		since:   now,
	}
	// The worker has sent a newer report, so it no longer waits for the answer
	// to the older one, whose list of tasks proves nothing any more.
	if replaced := n.waiting.add(waiting); replaced != nil {
		n.respond(replaced.from, event.StatusServiceUnavailable, nil, out)
	}
	if n.election.MayStart(now) {
		n.actAsLeader(now, out)
	}
	n.store.Tick(now, out)
	n.answerReports(now, out)
}

// respond sends an answer to wherever its report came from.
func (n *Node) respond(to replyTo, status int, body []byte, out *event.Effects) {
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
		out.Busy(to.conn, retryAfterSeconds)
	default:
		out.Reply(to.conn, status, body)
	}
}
