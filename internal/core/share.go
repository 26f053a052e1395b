package core

import (
	"lugward/internal/event"
	"lugward/internal/peer"
	"lugward/internal/store"
)

const (
	// The state service's rates: everyone is sure of a part, the rest goes
	// where it is asked for, to the leader before the others.
	// Of the requests a part is left for what others still have in flight. Of
	// the writes none is: one that is refused is sent again at once.
	requestsShare   = 0.9
	guaranteedShare = 0.25 // dealt evenly whatever is asked for
	demandMargin    = 1.3
	leaderWeight    = 3
)

// share sets our part of the state service's rates by what each controller
// says it could use; one that we do not hear counts with its sure part.
// It returns what we could use ourselves.
func (n *Node) share(now event.Time) (requests, writes float64) {
	rps, writeRPS := n.store.Rates()
	requests, writes = n.store.Demand(now)
	n.store.SetShare(n.split(requestsShare*rps, requests, func(f *peer.Frame) uint16 { return f.Requests }),
		n.split(writeRPS, writes, func(f *peer.Frame) uint16 { return f.Writes }))
	return requests, writes
}

func (n *Node) split(rate, own float64, want func(f *peer.Frame) uint16) float64 {
	guaranteed := guaranteedShare * rate / float64(len(n.peers)+1)
	claim := func(want float64, leads bool) store.Claim {
		c := store.Claim{Want: max(guaranteed, demandMargin*want), Weight: 1}
		if leads {
			c.Weight = leaderWeight
		}
		return c
	}
	claims := []store.Claim{claim(own, n.leading)}
	for _, p := range n.peers {
		if n.alive(p) {
			claims = append(claims, claim(float64(want(&p.heartbeat)), p.heartbeat.IsLeader))
		} else {
			claims = append(claims, claim(0, false))
		}
	}
	return store.Split(rate, claims)[0]
}
