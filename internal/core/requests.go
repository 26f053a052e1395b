package core

import (
	"time"

	"lugward/internal/event"
	"lugward/internal/peer"
	"lugward/internal/worker"
)

const (
	// A report is answered when its consequences are stored, or after this.
	answerTimeout = 400 * time.Millisecond
	// The report of a machine without tasks is held for longer: nothing on it
	// can change meanwhile, and a start that is decided then need not wait for
	// the next report. The worker waits for 4 s.
	idleAnswerTimeout = 2500 * time.Millisecond
	// Reports held so take one in so many sockets at most: where machines are
	// more than sockets, the others need them.
	idleSocketDivisor = 4
)

// replyTo is where an answer to a report goes: to a connection of ours, or
// through the peer that passed the report on.
type replyTo struct {
	conn  uint64
	peer  int
	relay uint64 // 0: it is a connection of ours
}

// Request takes an HTTP request.
func (n *Node) Request(now event.Time, r event.Request, out *event.Effects) {
	switch {
	case r.Path == "/healthz":
		n.handleHealth(now, r, out)
	case r.Path == "/hello":
		if r.Method != "POST" {
			out.Reply(r.Conn, 405, nil)
			return
		}
		n.handleReport(now, r, out)
	case n.api.Handle(now, r, out):
		n.store.Tick(now, out)
	default:
		out.Reply(r.Conn, 404, nil)
	}
}

// handleReport takes a worker's report.
func (n *Node) handleReport(now event.Time, r event.Request, out *event.Effects) {
	n.work.Reports++
	rep, err := n.parser.Parse(r.Body)
	if err != nil {
		out.Reply(r.Conn, 400, nil)
		return
	}
	n.yielded = false
	if !n.leading || !n.election.MayAnswer(now) {
		n.election.ObserveToken(rep.FencingToken)
		n.relayOrRedirect(now, r, rep.Machine, out)
		return
	}
	n.report(now, replyTo{conn: r.Conn}, rep, out)
}

// report takes a report as leader.
func (n *Node) report(now event.Time, from replyTo, rep *worker.Report, out *event.Effects) {
	if n.autoscaler.Released(rep.Machine) || !n.workers.TakeReport(rep, now, n.election) {
		n.respond(from, 503, nil, out)
		return
	}
	n.lastReportAt, n.yielded = now, false
	// An older report that still waits has lost its worker, and its list
	// proves nothing any more.
	w := &waitingReport{from: from, report: rep, machine: n.names.Machines.Index(rep.Machine), since: now}
	if old := n.waiting.add(w); old != nil {
		n.respond(old.from, 503, nil, out)
	}
	if n.election.MayStart(now) {
		n.actAsLeader(now, out)
	}
	n.store.Tick(now, out)
	n.answer(now, out)
}

func (n *Node) respond(to replyTo, status int, body []byte, out *event.Effects) {
	switch {
	case to.relay != 0:
		out.Send(to.peer, peer.Append(nil, &peer.Frame{Kind: peer.RelayAck, Label: n.cfg.Label, ID: to.relay, Status: uint16(status), Body: body}))
	case status == 503:
		out.Busy(to.conn, 1)
	default:
		out.Reply(to.conn, status, body)
	}
}
