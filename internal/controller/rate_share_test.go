package controller

import (
	"math"
	"slices"
	"testing"
	"time"

	"lugward/internal/kv"
	"lugward/internal/peer"
)

func writesOf(f *peer.Frame) uint16 { return f.Writes }

func TestRateClaims(t *testing.T) {
	const guaranteed = 10 // guaranteed share of a rate of 120 with three controllers
	dead := testPeer("b", time.Minute, peer.Frame{Writes: 500, IsLeader: true})
	idle := testPeer("c", 0, peer.Frame{})
	leader := testPeer("d", 0, peer.Frame{Writes: 100, IsLeader: true})
	follower := kv.Claim{Demand: guaranteed, Weight: followerWeight}
	tests := []struct {
		name     string
		claimant rateClaimant
		peers    *peerTable
		want     []kv.Claim
	}{
		{"all idle", rateClaimant{rate: 120}, testPeers(idle, idle), []kv.Claim{follower, follower, follower}},
		{"local controller leads and needs more", rateClaimant{120, 100, true}, testPeers(idle, idle),
			[]kv.Claim{{Demand: 100 * demandMargin, Weight: leaderWeight}, follower, follower}},
		{"a peer leads and needs more", rateClaimant{120, 1, false}, testPeers(idle, leader),
			[]kv.Claim{follower, follower, {Demand: 100 * demandMargin, Weight: leaderWeight}}},
		{"a peer that is not alive keeps its guaranteed share", rateClaimant{120, 1, false}, testPeers(dead, idle),
			[]kv.Claim{follower, follower, follower}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := test.claimant.claims(test.peers, writesOf); !slices.Equal(got, test.want) {
				t.Errorf("claims = %+v, want %+v", got, test.want)
			}
		})
	}
}

func TestRateShareOfALeader(t *testing.T) {
	idle := testPeer("b", 0, peer.Frame{})
	claimant := rateClaimant{rate: 120, ownDemand: 1000, leads: true}
	got := claimant.share(testPeers(idle, idle), writesOf)
	if want := 100.0; math.Abs(got-want) > 1e-9 {
		t.Errorf("share = %g, want %g: the rate without the guaranteed shares of the other controllers", got, want)
	}
}
