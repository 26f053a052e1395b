package controller

import (
	"lugward/internal/event"
	"lugward/internal/kv"
	"lugward/internal/peer"
)

// How the controllers share the request rates of the state service: each is
// sure of a part, the rest goes where it is asked for, to the leader first.
const (
	// requestsShare is the part of the request rate that is shared out: the
	// rest is left for what other controllers still have in flight. Writes are
	// shared out whole, as one that is refused is sent again at once.
	requestsShare = 0.9
	// guaranteedShare is the part of a rate that is dealt evenly, whatever the
	// controllers ask for.
	guaranteedShare = 0.25
	// demandMargin: a controller may use this many times what it used lately,
	// so that its use can grow.
	demandMargin = 1.3
	// leaderWeight is the weight of the leader's claim; a follower's is 1.
	leaderWeight   = 3
	followerWeight = 1
)

// demand is what a controller could use of the state service's rates, per second.
type demand struct {
	requests float64
	writes   float64
}

// shareRates sets our part of the state service's rates by what each controller
// could use. It returns what we could use ourselves.
func (c *Controller) shareRates(now event.Time) demand {
	var own demand
	own.requests, own.writes = c.store.Demand(now)
	requestRate, writeRate := c.store.Rates()
	requests := c.split(requestsShare*requestRate, own.requests, func(f *peer.Frame) uint16 { return f.Requests })
	writes := c.split(writeRate, own.writes, func(f *peer.Frame) uint16 { return f.Writes })
	c.store.SetRateShare(requests, writes)
	return own
}

// split returns our part of a rate. A peer that is not alive counts with its
// guaranteed part, as it may use that without our knowing.
func (c *Controller) split(rate, own float64, demandOf func(*peer.Frame) uint16) float64 {
	guaranteed := guaranteedShare * rate / float64(len(c.peers)+1)
	claims := []kv.Claim{{
		Want:   max(guaranteed, demandMargin*own),
		Weight: claimWeight(c.leadership.active),
	}}
	for _, p := range c.peers {
		claim := kv.Claim{Want: guaranteed, Weight: followerWeight}
		if c.isAlive(p) {
			claim.Want = max(guaranteed, demandMargin*float64(demandOf(&p.heartbeat)))
			claim.Weight = claimWeight(p.heartbeat.IsLeader)
		}
		claims = append(claims, claim)
	}
	return kv.Split(rate, claims)[0]
}

func claimWeight(leads bool) float64 {
	if leads {
		return leaderWeight
	}
	return followerWeight
}
