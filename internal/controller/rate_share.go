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

// shareRates sets our part of the state service's rates by what each controller
// could use. It returns what we could use ourselves.
func (c *Controller) shareRates(now event.Time) kv.Rates {
	own := c.store.Demand(now)
	total := c.store.TotalRates()
	requests := c.split(requestsShare*total.Requests, own.Requests, func(f *peer.Frame) uint16 { return f.Requests })
	writes := c.split(total.Writes, own.Writes, func(f *peer.Frame) uint16 { return f.Writes })
	c.store.SetRateShare(kv.Rates{Requests: requests, Writes: writes})
	return own
}

// split returns our part of a rate. A peer that is not alive counts with its
// guaranteed part, as it may use that without our knowing.
func (c *Controller) split(rate, own float64, demandOf func(*peer.Frame) uint16) float64 {
	guaranteed := guaranteedShare * rate / float64(len(c.peers)+1)
	claims := []kv.Claim{{
		Demand: max(guaranteed, demandMargin*own),
		Weight: claimWeight(c.leadership.active),
	}}
	for _, p := range c.peers {
		claim := kv.Claim{Demand: guaranteed, Weight: followerWeight}
		if c.isAlive(p) {
			claim.Demand = max(guaranteed, demandMargin*float64(demandOf(&p.heartbeat)))
			claim.Weight = claimWeight(p.heartbeat.IsLeader)
		}
		claims = append(claims, claim)
	}
	return kv.FairShares(rate, claims)[0]
}

func claimWeight(leads bool) float64 {
	if leads {
		return leaderWeight
	}
	return followerWeight
}
