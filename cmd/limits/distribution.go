package main

import (
	"fmt"
	"math"
)

// distribution describes sizes or times: either the listed sizes with their weights, or a
// log-normal distribution with the given median and 95th percentile, truncated at Max if
// Max is set.
type distribution struct {
	Median  float64   `toml:"median"`
	P95     float64   `toml:"p95"`
	Max     float64   `toml:"max"` // zero if not truncated
	Sizes   []float64 `toml:"sizes"`
	Weights []float64 `toml:"weights"`
}

// z95 is the 95th percentile of the standard normal distribution.
const z95 = 1.6449

// validate returns an error if the distribution has no mean.
func (d distribution) validate() error {
	if len(d.Sizes) == 0 {
		if !(d.Median > 0 && d.P95 >= d.Median) {
			return fmt.Errorf("expected sizes with weights, or a positive median and a p95 not below it, got median %g and p95 %g", d.Median, d.P95)
		}
		return nil
	}
	if len(d.Weights) != len(d.Sizes) {
		return fmt.Errorf("expected as many weights as sizes, got %d weights and %d sizes", len(d.Weights), len(d.Sizes))
	}
	total := 0.0
	for _, weight := range d.Weights {
		total += weight
	}
	if !(total > 0) {
		return fmt.Errorf("expected weights with a positive sum, got a sum of %g", total)
	}
	return nil
}

// sigma returns the standard deviation of the logarithm of the log-normal distribution.
func (d distribution) sigma() float64 { return math.Log(d.P95/d.Median) / z95 }

// mean returns the mean of the listed sizes or of the log-normal without truncation.
func (d distribution) mean() float64 {
	if len(d.Sizes) > 0 {
		sum, weight := 0.0, 0.0
		for i, size := range d.Sizes {
			sum += size * d.Weights[i]
			weight += d.Weights[i]
		}
		return sum / weight
	}
	sigma := d.sigma()
	return d.Median * math.Exp(sigma*sigma/2)
}

// truncatedMean returns the mean of the log-normal truncated at Max. It is a lower bound
// on the mean of the bench's values, whether the bench redraws values above Max or clamps
// them to Max.
func (d distribution) truncatedMean() float64 {
	mean := d.mean()
	if d.Max <= 0 || len(d.Sizes) > 0 || d.P95 <= d.Median {
		return mean
	}
	sigma := d.sigma()
	cut := math.Log(d.Max/d.Median) / sigma
	return mean * normalCDF(cut-sigma) / normalCDF(cut)
}

// normalCDF is the cumulative distribution function of the standard normal distribution.
func normalCDF(x float64) float64 { return math.Erfc(-x/math.Sqrt2) / 2 }
