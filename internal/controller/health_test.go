package controller

import (
	"testing"
	"time"

	"lugward/internal/event"
	"lugward/internal/peer"
)

// fakeState is the status of the state service as one controller sees it.
type fakeState struct {
	synced      bool
	unavailable bool
	lastContact event.Time
}

func (s fakeState) Synced() bool            { return s.synced }
func (s fakeState) Unavailable() bool       { return s.unavailable }
func (s fakeState) LastContact() event.Time { return s.lastContact }

func TestIsHealthy(t *testing.T) {
	unavailableFor := func(age time.Duration) fakeState { return fakeState{true, true, testNow - age} }
	dead := testPeer("b", time.Minute, peer.Frame{StateOK: true})
	withState := testPeer("c", 0, peer.Frame{StateOK: true})
	withoutState := testPeer("d", 0, peer.Frame{})
	tests := []struct {
		name  string
		state fakeState
		peers *peerTable
		want  bool
	}{
		{"watch cache is not complete", fakeState{false, false, testNow}, testPeers(), false},
		{"state service available", fakeState{true, false, 0}, testPeers(withState), true},
		{"unavailable for no longer than the peer timeout", unavailableFor(peerHeartbeatTimeout), testPeers(withState), true},
		{"unavailable while a peer reaches it", unavailableFor(peerHeartbeatTimeout + 1), testPeers(dead, withState), false},
		{"unavailable for all controllers", unavailableFor(time.Minute), testPeers(dead, withoutState), true},
		{"no peer alive until the isolation timeout", unavailableFor(isolationTimeout), testPeers(dead), true},
		{"no peer alive after the isolation timeout", unavailableFor(isolationTimeout + 1), testPeers(dead), false},
		{"unavailable, no peers configured", unavailableFor(time.Minute), testPeers(), true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := isHealthy(testNow, test.state, test.peers); got != test.want {
				t.Errorf("isHealthy = %v, want %v", got, test.want)
			}
		})
	}
}
