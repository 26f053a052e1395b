package controller

import (
	"testing"
	"time"
)

func TestWorkerRoute(t *testing.T) {
	const now = time.Hour
	tests := []struct {
		name        string
		route       workerRoute
		leftLeader  bool
		leaderAlive bool
		want        routeAction
		relaying    bool // afterwards
	}{
		{"first heartbeat", workerRoute{servedAt: -redirectWindow}, false, true, redirectToLeader, false},
		{"first heartbeat, leader not alive", workerRoute{servedAt: -redirectWindow}, false, false, redirectToLeader, false},
		{"back at once", workerRoute{servedAt: now - time.Second}, false, true, relayToLeader, true},
		{"back at once, leader not alive", workerRoute{servedAt: now - time.Second}, false, false, nameNoLeader, false},
		{"back after the window", workerRoute{servedAt: now - redirectWindow}, false, true, redirectToLeader, false},
		{"left the leader", workerRoute{servedAt: -redirectWindow}, true, true, relayToLeader, true},
		{"left a leader that is not alive", workerRoute{servedAt: -redirectWindow}, true, false, nameNoLeader, false},
		{"being relayed", workerRoute{servedAt: now - time.Second, relayingSince: now - relayDuration}, false, true, relayToLeader, true},
		{"relayed long enough", workerRoute{servedAt: now - time.Second, relayingSince: now - relayDuration - 1}, false, true, redirectToLeader, false},
		{"relayed, leader not alive any more", workerRoute{servedAt: now - time.Second, relayingSince: now - time.Minute}, false, false, nameNoLeader, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			route := test.route
			if got := route.next(now, test.leftLeader, test.leaderAlive); got != test.want {
				t.Errorf("action %d, want %d", got, test.want)
			}
			if route.relaying() != test.relaying {
				t.Errorf("relaying %v, want %v", route.relaying(), test.relaying)
			}
			served := test.want != nameNoLeader
			if (route.servedAt == now) != served {
				t.Errorf("served at %v; a worker counts as served when it is redirected or relayed", route.servedAt)
			}
		})
	}
}

func TestRelayingBeginsWithTheFirstRelayedHeartbeat(t *testing.T) {
	route := workerRoute{servedAt: time.Hour}
	begin := time.Hour + time.Second
	for _, now := range []time.Duration{begin, begin + 5*time.Second, begin + 10*time.Second} {
		route.next(now, false, true)
		if route.relayingSince != begin {
			t.Errorf("relaying since %v, want %v", route.relayingSince, begin)
		}
	}
}

func TestRoutesLastForOneTerm(t *testing.T) {
	var routes workerRoutes
	routes.beginTerm(0) // before a leader is known
	route := routes.of("m-1")
	route.servedAt = time.Hour
	routes.beginTerm(0)
	if routes.of("m-1") != route {
		t.Error("a route is forgotten within its term")
	}
	routes.beginTerm(1)
	if got := routes.of("m-1").servedAt; got != -redirectWindow {
		t.Errorf("served at %v in a new term, want never", got)
	}
}
