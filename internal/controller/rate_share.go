package controller

import (
	"lugward/internal/event"
	"lugward/internal/kv"
	"lugward/internal/peer"
)

// The controllers share the request rates of the state service. Each controller is
// guaranteed a share of each rate. The rest is divided according to demand, and the
// leader's demand has a higher weight.
const (
	// requestsShare is the fraction of the request rate that is divided among the
	// controllers. The rest is reserved for requests that other controllers still have
	// in flight. The write rate is divided completely, because a refused write is
	// retried immediately.
	requestsShare = 0.9
	// guaranteedShare is the fraction of a rate that is divided evenly among the
	// controllers, regardless of their demand.
	guaranteedShare = 0.25
	// demandMargin is the factor by which a claim exceeds the recent demand of its
	// controller, so that the use of the rate can grow.
	demandMargin = 1.3
	// Weights of the claims of the leader and of the other controllers.
	leaderWeight   = 3
	followerWeight = 1
)

// rateClaimant is this controller's view of a rate that all controllers share.
type rateClaimant struct {
	rate      float64 // total for all controllers, per second
	ownDemand float64 // per second
	leads     bool
}

// updateRateShare sets this controller's share of the state service's rates according to
// the demand of all controllers. It returns this controller's own demand.
func (c *Controller) updateRateShare(now event.Time) kv.Rates {
	demand := c.store.Demand(now)
	total := c.store.TotalRates()
	requests := rateClaimant{requestsShare * total.Requests, demand.Requests, c.leadership.active}
	writes := rateClaimant{total.Writes, demand.Writes, c.leadership.active}
	c.store.SetRateShare(kv.Rates{
		Requests: requests.share(&c.peers, func(f *peer.Frame) uint16 { return f.Requests }),
		Writes:   writes.share(&c.peers, func(f *peer.Frame) uint16 { return f.Writes }),
	})
	return demand
}

// share returns this controller's share of the rate. demandOf returns the demand that a
// peer's heartbeat reports.
func (r rateClaimant) share(peers *peerTable, demandOf func(*peer.Frame) uint16) float64 {
	return kv.FairShares(r.rate, r.claims(peers, demandOf))[0]
}

// claims returns the claims of all controllers, starting with this controller's. The
// claim of a peer that is not alive is its guaranteed share, because the peer may still
// be running and use it.
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

// claimWeight returns the weight of a controller's claim.
func claimWeight(leads bool) float64 {
	if leads {
		return leaderWeight
	}
	return followerWeight
}
