package kv

// Claim is the claim of one controller on a rate that several controllers share.
type Claim struct {
	Demand float64 // per second
	Weight float64
}

// FairShares divides a rate among the claims by weighted max-min fairness: no
// controller gets more than its demand while the demand of another is not met, and
// the controllers whose demand is not met divide the rest by weight. If every demand
// is met, the surplus is divided by weight as well, so that a sudden increase in
// demand can be met. FairShares returns the shares in the order of the claims.
func FairShares(rate float64, claims []Claim) []float64 {
	shares := make([]float64, len(claims))
	unmet := make([]int, len(claims)) // indices of the claims whose demand is not met yet
	for i := range claims {
		unmet[i] = i
	}
	remaining := rate
	for len(unmet) > 0 {
		perWeight := remaining / totalWeight(claims, unmet)
		var stillUnmet []int
		for _, i := range unmet {
			if claims[i].Demand <= perWeight*claims[i].Weight {
				shares[i] = claims[i].Demand
				remaining -= claims[i].Demand
			} else {
				stillUnmet = append(stillUnmet, i)
			}
		}
		if len(stillUnmet) == len(unmet) {
			for _, i := range stillUnmet {
				shares[i] = perWeight * claims[i].Weight
			}
			return shares
		}
		unmet = stillUnmet
	}
	addSurplus(shares, claims, remaining)
	return shares
}

// addSurplus divides the rate that remains when every demand is met by weight.
func addSurplus(shares []float64, claims []Claim, surplus float64) {
	total := 0.0
	for _, claim := range claims {
		total += claim.Weight
	}
	for i, claim := range claims {
		shares[i] += surplus * claim.Weight / total
	}
}

// totalWeight returns the sum of the weights of the claims with the given indices.
func totalWeight(claims []Claim, indices []int) float64 {
	sum := 0.0
	for _, i := range indices {
		sum += claims[i].Weight
	}
	return sum
}
