package controller

import (
	"time"

	"lugward/internal/event"
)

const (
	// redirectWindow: a worker that is back within this time after it was
	// redirected could not reach the controller that it was redirected to.
	redirectWindow = 20 * time.Second
	// relayDuration is how long a worker's heartbeats are relayed before it is
	// redirected again, to find out whether it reaches the leader by then.
	relayDuration = 45 * time.Second
)

// workerRoutes is how a follower has served each worker during one term.
type workerRoutes struct {
	token     uint64                  // fencing token of the term
	byMachine map[string]*workerRoute // nil before the first term
}

// workerRoute is how a follower has served a worker during one term.
type workerRoute struct {
	servedAt      event.Time // when it was last redirected or relayed
	relayingSince event.Time // 0: its heartbeats are not relayed
}

// routeAction is what a follower does with a worker's heartbeat.
type routeAction uint8

const (
	// redirectToLeader names the leader to the worker.
	redirectToLeader routeAction = iota
	// relayToLeader sends the heartbeat to the leader over the peer link.
	relayToLeader
	// nameNoLeader lets the worker try another controller.
	nameNoLeader
)

// beginTerm forgets what was found in the term before, if the term with the given
// token is another.
func (r *workerRoutes) beginTerm(token uint64) {
	if r.byMachine != nil && r.token == token {
		return
	}
	r.token = token
	r.byMachine = map[string]*workerRoute{}
}

// of returns the route of a worker in this term.
func (r *workerRoutes) of(machine string) *workerRoute {
	route := r.byMachine[machine]
	if route == nil {
		route = &workerRoute{servedAt: -redirectWindow}
		r.byMachine[machine] = route
	}
	return route
}

// relaying reports whether the worker's heartbeats are being relayed.
func (r *workerRoute) relaying() bool { return r.relayingSince != 0 }

// next decides what to do with the worker's next heartbeat, and notes it. leftLeader
// tells that the leader has served the worker in this term, leaderAlive that we can
// reach the leader.
func (r *workerRoute) next(now event.Time, leftLeader, leaderAlive bool) routeAction {
	// A worker that was served by the leader has left it for want of an answer: to
	// send it back first would cost it seconds in which nothing starts there.
	missesLeader := leftLeader || now-r.servedAt < redirectWindow
	relayedLongEnough := r.relaying() && now-r.relayingSince > relayDuration
	switch {
	case missesLeader && !leaderAlive:
		return nameNoLeader
	case !missesLeader || relayedLongEnough:
		r.servedAt = now
		r.relayingSince = 0
		return redirectToLeader
	default:
		r.servedAt = now
		if !r.relaying() {
			r.relayingSince = now
		}
		return relayToLeader
	}
}
