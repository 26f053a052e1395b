package controller

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"lugward/internal/event"
	"lugward/internal/httpwire"
	"lugward/internal/peer"
	"lugward/internal/worker"
)

const (
	// redirectWindow: a worker that is back within this time after it was
	// redirected to the leader could not reach it.
	redirectWindow = 20 * time.Second
	// relayDuration is how long a worker's reports are relayed before it is
	// redirected again, to find out whether it reaches the leader by then.
	relayDuration = 45 * time.Second
	// relayTimeout is how long the leader may take to answer a relayed report.
	relayTimeout = 3 * time.Second
)

// relays is what a follower keeps to bring workers, or their reports, to the
// leader.
type relays struct {
	token   uint64                  // fencing token of the term that routes are about
	routes  map[string]*workerRoute // by machine
	pending map[uint64]pendingRelay // by the number of the relay
	lastID  uint64                  // numbers start at 1
}

// workerRoute is how a follower has served a worker during one term.
type workerRoute struct {
	servedAt      event.Time // when it was last redirected or relayed
	relayingSince event.Time // 0: its reports are not relayed
}

// pendingRelay is a relayed report that the leader has not answered yet.
type pendingRelay struct {
	conn  uint64 // of the worker
	since event.Time
}

// redirectAnswer tells a worker which controller leads.
type redirectAnswer struct {
	Leader string `json:"steward"`
}

func newRelays() relays {
	return relays{pending: map[uint64]pendingRelay{}}
}

// beginTerm forgets what was found in the term before, if the term with the given
// token is another.
func (r *relays) beginTerm(token uint64) {
	if r.routes != nil && r.token == token {
		return
	}
	r.token = token
	r.routes = map[string]*workerRoute{}
}

// route returns the route of a worker in this term.
func (r *relays) route(machine string) *workerRoute {
	route := r.routes[machine]
	if route == nil {
		route = &workerRoute{servedAt: -redirectWindow}
		r.routes[machine] = route
	}
	return route
}

// add notes a report that is being relayed and returns its number.
func (r *relays) add(conn uint64, now event.Time) uint64 {
	r.lastID++
	r.pending[r.lastID] = pendingRelay{conn: conn, since: now}
	return r.lastID
}

// relayOrRedirect brings a worker's report to the leader. A worker that the leader
// has not served is redirected first; if it comes back soon it could not reach the
// leader, and its reports are relayed over the peer link. So a partition between two
// zones costs no worker its lease as long as one controller reaches both sides. The
// leader treats relayed reports like any other; a late one is merely old.
func (c *Controller) relayOrRedirect(now event.Time, r event.Request, report *worker.Heartbeat, out *event.Effects) {
	leader := c.liveLeader()
	reachable := leader >= 0
	c.relays.beginTerm(c.election.LeaderFencingToken())
	route := c.relays.route(report.Machine)
	cameBack := now-route.servedAt < redirectWindow
	// A worker that shows the leader's fencing token was served by it and has left
	// it for want of an answer: to send it back first would cost it seconds in which
	// nothing starts there.
	leftLeader := report.FencingToken != 0 && report.FencingToken == c.election.LeaderFencingToken()
	relayedLongEnough := route.relayingSince != 0 && now-route.relayingSince > relayDuration
	switch {
	case (cameBack || leftLeader) && !reachable:
		// Neither the worker nor we reach the leader: name none, so that the
		// worker tries another controller.
		out.Reply(r.Conn, httpwire.StatusMisdirectedRequest, nil)
	case (!cameBack && !leftLeader) || relayedLongEnough:
		route.servedAt = now
		route.relayingSince = 0
		c.redirect(r.Conn, out)
	default:
		if route.relayingSince == 0 {
			route.relayingSince = now
			c.log.Info("relaying reports", "machine", report.Machine, "to", c.peers[leader].label)
		}
		route.servedAt = now
		c.relay(now, r, leader, out)
	}
}

// liveLeader returns the index of the peer that leads, -1 if none that is
// alive does.
func (c *Controller) liveLeader() int {
	leader := -1
	for i, p := range c.peers {
		if p.label == c.election.Leader() && c.isAlive(p) {
			leader = i
		}
	}
	return leader
}

// relay sends a report to the leader over the peer link.
func (c *Controller) relay(now event.Time, r event.Request, leader int, out *event.Effects) {
	out.SendFrame(leader, peer.Append(nil, &peer.Frame{
		Kind:  peer.Relay,
		Label: c.cfg.Label,
		ID:    c.relays.add(r.Conn, now),
		Body:  r.Body,
	}))
}

// handleRelayedHeartbeat takes, as leader, a report that a peer has relayed.
func (c *Controller) handleRelayedHeartbeat(now event.Time, from int, frame *peer.Frame, out *event.Effects) {
	to := replyTo{peer: from, relayID: frame.ID}
	report, err := c.parser.Parse(frame.Body)
	if err != nil || !c.mayAnswerHeartbeats(now) {
		c.respond(to, httpwire.StatusServiceUnavailable, nil, out)
		return
	}
	c.acceptHeartbeat(now, to, report, out)
}

// handleRelayAck passes the leader's answer to a relayed report on to its
// worker. An answer that comes after the relay has expired is ignored.
func (c *Controller) handleRelayAck(frame *peer.Frame, out *event.Effects) {
	relay, ok := c.relays.pending[frame.ID]
	if !ok {
		return
	}
	delete(c.relays.pending, frame.ID)
	c.respond(replyTo{conn: relay.conn}, int(frame.Status), frame.Body, out)
}

// expireRelays answers the workers whose relayed report got no answer in time.
func (c *Controller) expireRelays(now event.Time, out *event.Effects) {
	for _, id := range slices.Sorted(maps.Keys(c.relays.pending)) {
		relay := c.relays.pending[id]
		if now-relay.since > relayTimeout {
			delete(c.relays.pending, id)
			out.ReplyUnavailable(relay.conn, retryAfterSeconds)
		}
	}
}

// redirect tells a worker which controller leads, if that is known.
func (c *Controller) redirect(conn uint64, out *event.Effects) {
	leader := c.election.Leader()
	if leader == "" || leader == c.cfg.Label {
		out.Reply(conn, httpwire.StatusMisdirectedRequest, nil)
		return
	}
	redirectTo(leader, conn, out)
}

// redirectTo tells a worker to report to a controller.
func redirectTo(label string, conn uint64, out *event.Effects) {
	body, _ := json.Marshal(redirectAnswer{Leader: label})
	out.Reply(conn, httpwire.StatusMisdirectedRequest, body)
}
