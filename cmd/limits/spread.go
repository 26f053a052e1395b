package main

import (
	"errors"
	"math"
)

// spread is a distribution: the listed sizes with their weights, or else a
// log-normal with the given median and 95th percentile, cut off at Max if set.
type spread struct {
	Median  float64   `toml:"median"`
	P95     float64   `toml:"p95"`
	Max     float64   `toml:"max"`
	Sizes   []float64 `toml:"sizes"`
	Weights []float64 `toml:"weights"`
}

// z95 is the 95th percentile of the standard normal distribution.
const z95 = 1.6449

func (s spread) check() error {
	if len(s.Sizes) == 0 {
		if !(s.Median > 0 && s.P95 >= s.Median) {
			return errors.New("sizes with weights, or a positive median and a p95 not below it, are expected")
		}
		return nil
	}
	if len(s.Weights) != len(s.Sizes) {
		return errors.New("as many weights as sizes are expected")
	}
	total := 0.0
	for _, weight := range s.Weights {
		total += weight
	}
	if !(total > 0) {
		return errors.New("weights with a positive sum are expected")
	}
	return nil
}

// sigma is the standard deviation of the log-normal's logarithm.
func (s spread) sigma() float64 { return math.Log(s.P95/s.Median) / z95 }

// mean is the mean of the listed sizes or of the whole log-normal.
func (s spread) mean() float64 {
	if len(s.Sizes) > 0 {
		sum, weight := 0.0, 0.0
		for i, size := range s.Sizes {
			sum += size * s.Weights[i]
			weight += s.Weights[i]
		}
		return sum / weight
	}
	sigma := s.sigma()
	return s.Median * math.Exp(sigma*sigma/2)
}

// leastMean is the mean of the log-normal cut off at its largest value. Whether
// the bench draws larger values anew or lowers them to the largest, their mean is
// this or more.
func (s spread) leastMean() float64 {
	mean := s.mean()
	if s.Max <= 0 || len(s.Sizes) > 0 || s.P95 <= s.Median {
		return mean
	}
	sigma := s.sigma()
	cut := math.Log(s.Max/s.Median) / sigma
	return mean * normalCDF(cut-sigma) / normalCDF(cut)
}

// normalCDF is the standard normal distribution function.
func normalCDF(x float64) float64 { return math.Erfc(-x/math.Sqrt2) / 2 }
