package core

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"lugward/internal/event"
	"lugward/internal/peer"
)

const (
	// A worker that is back within this time after it was sent to the leader
	// did not reach it; its reports are passed on for a while.
	redirectWindow = 20 * time.Second
	relayDuration  = 45 * time.Second
	relayTimeout   = 3 * time.Second
)

// workerRoute is what a node that does not lead remembers of a worker.
type workerRoute struct {
	token    uint64     // of the leader it was sent to
	sent     event.Time // when
	relaying event.Time // since when its reports are passed on, 0: they are not
}

type pendingRelay struct {
	conn  uint64
	since event.Time
}

// relayOrRedirect sends a worker to the leader. One that comes back soon cannot reach
// it: its reports are passed on over the peer link, so that a cut between two
// zones costs no lease as long as some node reaches both sides. The leader
// treats them like any other; a late one is merely old.
func (n *Node) relayOrRedirect(now event.Time, r event.Request, machine string, out *event.Effects) {
	holder := n.election.Holder()
	link := -1
	for i, p := range n.peers {
		if p.label == holder && n.alive(p) {
			link = i
		}
	}
	p := n.routes[machine]
	if token := n.election.HolderToken(); p == nil || p.token != token {
		p = &workerRoute{token: token, sent: -redirectWindow}
		n.routes[machine] = p
	}
	switch {
	case link < 0 && now-p.sent < redirectWindow:
		// It came back, and we do not reach the leader either.
		out.Reply(r.Conn, 421, nil)
	case link < 0 || now-p.sent >= redirectWindow || (p.relaying != 0 && now-p.relaying > relayDuration):
		p.sent, p.relaying = now, 0
		n.redirect(r.Conn, out)
	default:
		if p.relaying == 0 {
			p.relaying = now
			n.log.Info("relaying reports", "machine", machine, "to", holder)
		}
		p.sent = now
		n.lastRelay++
		n.relayed[n.lastRelay] = pendingRelay{r.Conn, now}
		out.Send(link, peer.Append(nil, &peer.Frame{Kind: peer.Relay, Label: n.cfg.Label, ID: n.lastRelay, Body: r.Body}))
	}
}

// expireRelays answers workers whose passed-on report nobody answered.
func (n *Node) expireRelays(now event.Time, out *event.Effects) {
	for _, id := range slices.Sorted(maps.Keys(n.relayed)) {
		if p := n.relayed[id]; now-p.since > relayTimeout {
			delete(n.relayed, id)
			out.Busy(p.conn, 1)
		}
	}
}

func (n *Node) redirect(conn uint64, out *event.Effects) {
	holder := n.election.Holder()
	if holder == "" || holder == n.cfg.Label {
		out.Reply(conn, 421, nil)
		return
	}
	body, _ := json.Marshal(map[string]string{"steward": holder})
	out.Reply(conn, 421, body)
}
