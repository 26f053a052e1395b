package controller

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"lugward/internal/config"
	"lugward/internal/peer"
)

// testNow is the time at which the local controller last sent a heartbeat to the peers.
const testNow = time.Hour

// testPeer returns a peer whose last heartbeat arrived the given age before testNow.
func testPeer(label string, age time.Duration, heartbeat peer.Frame) *peerState {
	return &peerState{label: label, receivedAt: testNow - age, heartbeat: heartbeat}
}

// testPeers returns a peer table with the given peers.
func testPeers(peers ...*peerState) *peerTable {
	return &peerTable{list: peers, heartbeatSentAt: testNow}
}

func TestPeerIsAlive(t *testing.T) {
	tests := []struct {
		name string
		age  time.Duration // age of the last heartbeat
		want bool
	}{
		{"heartbeat has just arrived", 0, true},
		{"heartbeat arrived after the last one was sent", -time.Second, true},
		{"heartbeat within the timeout", peerHeartbeatTimeout - 1, true},
		{"heartbeat too old", peerHeartbeatTimeout, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p := testPeer("b", test.age, peer.Frame{})
			if got := testPeers(p).isAlive(p); got != test.want {
				t.Errorf("isAlive = %v, want %v", got, test.want)
			}
		})
	}
	t.Run("no heartbeat yet", func(t *testing.T) {
		table := newPeerTable([]config.Seed{{Label: "b"}})
		if table.isAlive(table.list[0]) {
			t.Error("isAlive = true for a peer that has sent no heartbeat, want false")
		}
	})
}

func TestPeerByLabel(t *testing.T) {
	peers := testPeers(
		testPeer("b", time.Minute, peer.Frame{StateOK: true}),
		testPeer("c", 0, peer.Frame{StateOK: true}),
		testPeer("d", 0, peer.Frame{}))
	tests := []struct {
		name         string
		label        string
		index        int
		alive        bool
		reachesState bool
	}{
		{"not alive", "b", 0, false, false},
		{"alive", "c", 1, true, true},
		{"alive without the state service", "d", 2, true, false},
		{"unknown", "e", 0, false, false},
		{"no leader", "", 0, false, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			index, alive := peers.aliveByLabel(test.label)
			if alive != test.alive || (alive && index != test.index) {
				t.Errorf("aliveByLabel(%q) = %d, %v; want %d, %v", test.label, index, alive, test.index, test.alive)
			}
			if got := peers.reachesState(test.label); got != test.reachesState {
				t.Errorf("reachesState(%q) = %v, want %v", test.label, got, test.reachesState)
			}
		})
	}
}

func TestRelayingPeerFor(t *testing.T) {
	dead := testPeer("b", time.Minute, peer.Frame{})
	tests := []struct {
		name  string
		peers *peerTable
		want  []string // labels of the peers that the machines are assigned to
	}{
		{"no peers", testPeers(), nil},
		{"none alive", testPeers(dead), nil},
		{"one of two alive", testPeers(dead, testPeer("c", 0, peer.Frame{})), []string{"c"}},
		{"two of three alive", testPeers(dead, testPeer("c", 0, peer.Frame{}), testPeer("d", 0, peer.Frame{})), []string{"c", "d"}},
	}
	const machines = 100
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			count := map[string]int{}
			for i := range machines {
				machine := fmt.Sprintf("m-%d", i)
				label, ok := test.peers.relayingPeerFor(machine)
				if ok != (len(test.want) > 0) {
					t.Fatalf("relayingPeerFor(%q): ok = %v, want %v", machine, ok, len(test.want) > 0)
				}
				if again, _ := test.peers.relayingPeerFor(machine); again != label {
					t.Errorf("second relayingPeerFor(%q) = %q, want %q as in the first call", machine, again, label)
				}
				if ok {
					count[label]++
				}
			}
			for label, n := range count {
				if !slices.Contains(test.want, label) || n < machines/len(test.want)/2 {
					t.Errorf("%d of %d machines are assigned to %q, want at least %d, to peers of %v", n, machines, label, machines/len(test.want)/2, test.want)
				}
			}
			if len(count) != len(test.want) {
				t.Errorf("machines are assigned to peers %v, want %v", count, test.want)
			}
		})
	}
}

func TestPeerHeartbeatsAreSentAtAnInterval(t *testing.T) {
	var peers peerTable
	var sent []time.Duration
	for now := time.Duration(0); now <= 3*peerHeartbeatInterval; now += peerHeartbeatInterval / 4 {
		if peers.startHeartbeatIfDue(now) {
			sent = append(sent, now)
		}
	}
	want := []time.Duration{peerHeartbeatInterval, 2 * peerHeartbeatInterval, 3 * peerHeartbeatInterval}
	if !slices.Equal(sent, want) {
		t.Errorf("heartbeats are sent at %v, want %v", sent, want)
	}
}

func TestSaturate(t *testing.T) {
	for rate, want := range map[float64]uint16{0: 0, 12.9: 12, 65535: 65535, 1e9: 65535} {
		if got := saturate(rate); got != want {
			t.Errorf("saturate(%g) = %d, want %d", rate, got, want)
		}
	}
}
