package controller

import (
	"time"

	"lugward/internal/event"
)

const (
	// redirectWindow is the time within which the return of a redirected worker means
	// that it could not reach the controller that it was redirected to.
	redirectWindow = 20 * time.Second
	// relayDuration is how long a worker's heartbeats are relayed before the worker is
	// redirected again, in case it can reach the leader by then.
	relayDuration = 45 * time.Second
)

// workerRoutes records how a follower has routed the heartbeats of each worker during
// one term.
type workerRoutes struct {
	token     uint64                  // fencing token of the term
	byMachine map[string]*workerRoute // nil before the first term
}

// workerRoute records how a follower has routed the heartbeats of a worker during one
// term.
type workerRoute struct {
	routedAt      event.Time // when it was last redirected or relayed
	relayingSince event.Time // zero if its heartbeats are not being relayed
}

// routeAction is the action of a follower on a worker's heartbeat.
type routeAction uint8

const (
	// redirectToLeader redirects the worker to the leader.
	redirectToLeader routeAction = iota
	// relayToLeader sends the heartbeat to the leader over the peer link.
	relayToLeader
	// replyWithoutLeader rejects the heartbeat without naming the leader, so that the
	// worker tries another controller.
	replyWithoutLeader
)

// beginTerm discards the routes of the previous term if the given token belongs to a new
// term.
func (r *workerRoutes) beginTerm(token uint64) {
	if r.byMachine != nil && r.token == token {
		return
	}
	r.token = token
	r.byMachine = map[string]*workerRoute{}
}

// getOrCreate returns the route of a worker in this term. It creates the route for the
// first heartbeat of the worker.
func (r *workerRoutes) getOrCreate(machine string) *workerRoute {
	route := r.byMachine[machine]
	if route == nil {
		route = &workerRoute{routedAt: -redirectWindow}
		r.byMachine[machine] = route
	}
	return route
}

// relaying reports whether the worker's heartbeats are being relayed.
func (r *workerRoute) relaying() bool { return r.relayingSince != 0 }

// nextAction returns the action for a heartbeat of the worker and records a redirect or
// relay. servedByLeader means that the leader has served the worker in this term, mayRelay
// that this controller can reach the leader and relay heartbeats to it.
func (r *workerRoute) nextAction(now event.Time, servedByLeader, mayRelay bool) routeAction {
	// A worker that the leader has served contacts another controller only because the
	// leader did not answer. Redirecting it to the leader first would cost seconds in
	// which no task can start on its machine.
	leaderUnreachable := servedByLeader || now-r.routedAt < redirectWindow
	relayExpired := r.relaying() && now-r.relayingSince > relayDuration
	switch {
	case leaderUnreachable && !mayRelay:
		return replyWithoutLeader
	case !leaderUnreachable || relayExpired:
		r.routedAt = now
		r.relayingSince = 0
		return redirectToLeader
	default:
		r.routedAt = now
		if !r.relaying() {
			r.relayingSince = now
		}
		return relayToLeader
	}
}
