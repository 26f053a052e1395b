package controller

import (
	"lugward/internal/event"
	"lugward/internal/kv"
	"lugward/internal/peer"
)

// How the controllers share the request rates of the state service: each is sure of a
// part, the rest goes where it is needed, to the leader first.
const (
	// requestsShare is the part of the request rate that is shared out: the rest is
	// left for what other controllers still have in flight. Writes are shared out
	// whole, as one that is refused is sent again at once.
	requestsShare = 0.9
	// guaranteedShare is the part of a rate that is divided evenly, whatever the
	// controllers could use.
	guaranteedShare = 0.25
	// demandMargin: a controller may use this many times what it used lately, so that
	// its use can grow.
	demandMargin = 1.3
	// leaderWeight is the weight of the leader's claim; a follower's is 1.
	leaderWeight   = 3
	followerWeight = 1
)

// rateClaimant is a controller's view of one rate that all controllers share.
type rateClaimant struct {
	rate      float64 // of all controllers together, per second
	ownDemand float64 // per second
	leads     bool
}

// shareRates sets our part of the state service's rates by what each controller could
// use. It returns what we could use ourselves.
func (c *Controller) shareRates(now event.Time) kv.Rates {
	own := c.store.Demand(now)
	total := c.store.TotalRates()
	requests := rateClaimant{requestsShare * total.Requests, own.Requests, c.leadership.active}
	writes := rateClaimant{total.Writes, own.Writes, c.leadership.active}
	c.store.SetRateShare(kv.Rates{
		Requests: requests.share(&c.peers, func(f *peer.Frame) uint16 { return f.Requests }),
		Writes:   writes.share(&c.peers, func(f *peer.Frame) uint16 { return f.Writes }),
	})
	return own
}

// share returns our part of the rate. demandOf is what a peer's heartbeat says that
// it could use.
func (r rateClaimant) share(peers *peerTable, demandOf func(*peer.Frame) uint16) float64 {
	return kv.FairShares(r.rate, r.claims(peers, demandOf))[0]
}

// claims lists the claims of all controllers, ours first. A peer that is not alive
// counts with its guaranteed part, as it may use that without our knowing.
func (r rateClaimant) claims(peers *peerTable, demandOf func(*peer.Frame) uint16) []kv.Claim {
	guaranteed := guaranteedShare * r.rate / float64(len(peers.list)+1)
	claims := make([]kv.Claim, 0, len(peers.list)+1)
	claims = append(claims, kv.Claim{
		Demand: max(guaranteed, demandMargin*r.ownDemand),
		Weight: claimWeight(r.leads),
	})
	for _, p := range peers.list {
		claim := kv.Claim{Demand: guaranteed, Weight: followerWeight}
		if peers.isAlive(p) {
			claim.Demand = max(guaranteed, demandMargin*float64(demandOf(&p.heartbeat)))
			claim.Weight = claimWeight(p.heartbeat.IsLeader)
		}
		claims = append(claims, claim)
	}
	return claims
}

// claimWeight is the weight of a controller's claim.
func claimWeight(leads bool) float64 {
	if leads {
		return leaderWeight
	}
	return followerWeight
}
