package controller

import (
	"testing"
	"time"
)

func TestWorkerRoute(t *testing.T) {
	const now = time.Hour
	tests := []struct {
		name           string
		route          workerRoute
		servedByLeader bool
		leaderAlive    bool
		want           routeAction
		relaying       bool // whether heartbeats are being relayed afterwards
	}{
		{"first heartbeat", workerRoute{routedAt: -redirectWindow}, false, true, redirectToLeader, false},
		{"first heartbeat, leader not alive", workerRoute{routedAt: -redirectWindow}, false, false, redirectToLeader, false},
		{"returns within the window", workerRoute{routedAt: now - time.Second}, false, true, relayToLeader, true},
		{"returns within the window, leader not alive", workerRoute{routedAt: now - time.Second}, false, false, replyWithoutLeader, false},
		{"returns after the window", workerRoute{routedAt: now - redirectWindow}, false, true, redirectToLeader, false},
		{"served by the leader before", workerRoute{routedAt: -redirectWindow}, true, true, relayToLeader, true},
		{"served by the leader before, leader not alive", workerRoute{routedAt: -redirectWindow}, true, false, replyWithoutLeader, false},
		{"relayed for relayDuration", workerRoute{routedAt: now - time.Second, relayingSince: now - relayDuration}, false, true, relayToLeader, true},
		{"relayed for longer than relayDuration", workerRoute{routedAt: now - time.Second, relayingSince: now - relayDuration - 1}, false, true, redirectToLeader, false},
		{"relayed, leader no longer alive", workerRoute{routedAt: now - time.Second, relayingSince: now - time.Minute}, false, false, replyWithoutLeader, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			route := test.route
			if got := route.nextAction(now, test.servedByLeader, test.leaderAlive); got != test.want {
				t.Errorf("nextAction = %d, want %d", got, test.want)
			}
			if route.relaying() != test.relaying {
				t.Errorf("relaying = %v, want %v", route.relaying(), test.relaying)
			}
			recorded := test.want != replyWithoutLeader
			if (route.routedAt == now) != recorded {
				t.Errorf("routedAt = %v, updated %v, want %v: it is updated for a redirect and for a relay", route.routedAt, !recorded, recorded)
			}
		})
	}
}

func TestRelayingBeginsWithTheFirstRelayedHeartbeat(t *testing.T) {
	route := workerRoute{routedAt: time.Hour}
	begin := time.Hour + time.Second
	for _, now := range []time.Duration{begin, begin + 5*time.Second, begin + 10*time.Second} {
		route.nextAction(now, false, true)
		if route.relayingSince != begin {
			t.Errorf("relayingSince = %v, want %v", route.relayingSince, begin)
		}
	}
}

func TestRoutesLastForOneTerm(t *testing.T) {
	var routes workerRoutes
	routes.beginTerm(0) // before a leader is known
	route := routes.getOrCreate("m-1")
	route.routedAt = time.Hour
	routes.beginTerm(0)
	if routes.getOrCreate("m-1") != route {
		t.Error("beginTerm with the same token discarded the route, want it kept")
	}
	routes.beginTerm(1)
	if got := routes.getOrCreate("m-1").routedAt; got != -redirectWindow {
		t.Errorf("routedAt = %v in a new term, want %v", got, -redirectWindow)
	}
}
