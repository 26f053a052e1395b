package kv

// Claim is one controller's claim on a rate that several controllers share.
type Claim struct {
	Demand float64 // per second
	Weight float64
}

// FairShares divides a rate among the claims by weighted max-min fairness: no
// controller gets more than its demand while the demand of another is not met, and
// among those whose demand is not met the weights decide. What nobody demands is
// divided by weight as well, so that a sudden need is met. It returns the shares
// in the order of the claims.
func FairShares(rate float64, claims []Claim) []float64 {
	shares := make([]float64, len(claims))
	unmet := make([]int, len(claims)) // indices of claims that are not met yet
	for i := range claims {
		unmet[i] = i
	}
	left := rate
	for len(unmet) > 0 {
		perWeight := left / totalWeight(claims, unmet)
		var stillUnmet []int
		for _, i := range unmet {
			if claims[i].Demand <= perWeight*claims[i].Weight {
				shares[i] = claims[i].Demand
				left -= claims[i].Demand
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
	addSurplus(shares, claims, left)
	return shares
}

// addSurplus divides by weight what is left when every demand is met.
func addSurplus(shares []float64, claims []Claim, surplus float64) {
	total := 0.0
	for _, claim := range claims {
		total += claim.Weight
	}
	for i, claim := range claims {
		shares[i] += surplus * claim.Weight / total
	}
}

// totalWeight sums the weights of the claims with the given indices.
func totalWeight(claims []Claim, indices []int) float64 {
	sum := 0.0
	for _, i := range indices {
		sum += claims[i].Weight
	}
	return sum
}
