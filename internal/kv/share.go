package kv

// Claim is one node's claim on a rate that several nodes share.
type Claim struct{ Demand, Weight float64 }

// FairShares divides a rate among the claims by weighted max-min fairness: no node
// gets more than it wants while another wants more, and among those that want
// more the weights decide. What nobody wants is divided by weight as well, so
// that a sudden need is met. It returns the parts in the order of the claims.
func FairShares(rate float64, claims []Claim) []float64 {
	parts := make([]float64, len(claims))
	unmet := make([]int, len(claims)) // indices of claims that are not met yet
	for i := range claims {
		unmet[i] = i
	}
	left := rate
	for len(unmet) > 0 {
		unit := left / weightOf(claims, unmet)
		var still []int
		for _, i := range unmet {
			if claims[i].Demand <= unit*claims[i].Weight {
				parts[i] = claims[i].Demand
				left -= claims[i].Demand
			} else {
				still = append(still, i)
			}
		}
		if len(still) == len(unmet) {
			for _, i := range still {
				parts[i] = unit * claims[i].Weight
			}
			return parts
		}
		unmet = still
	}
	total := 0.0
	for _, claim := range claims {
		total += claim.Weight
	}
	for i, claim := range claims {
		parts[i] += left * claim.Weight / total
	}
	return parts
}

// weightOf sums the weights of the claims with the given indices.
func weightOf(claims []Claim, indices []int) float64 {
	sum := 0.0
	for _, i := range indices {
		sum += claims[i].Weight
	}
	return sum
}
