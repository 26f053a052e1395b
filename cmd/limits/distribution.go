package main

import (
	"errors"
	"math"
)

// distribution is of sizes or times: the listed sizes with their weights, or else a
// log-normal with the given median and 95th percentile, cut off at Max if set.
type distribution struct {
	Median  float64   `toml:"median"`
	P95     float64   `toml:"p95"`
	Max     float64   `toml:"max"` // 0: none
	Sizes   []float64 `toml:"sizes"`
	Weights []float64 `toml:"weights"`
}

// z95 is the 95th percentile of the standard normal distribution.
const z95 = 1.6449

// check refuses a distribution that has no mean.
func (d distribution) check() error {
	if len(d.Sizes) == 0 {
		if !(d.Median > 0 && d.P95 >= d.Median) {
			return errors.New("sizes with weights, or a positive median and a p95 not below it, are expected")
		}
		return nil
	}
	if len(d.Weights) != len(d.Sizes) {
		return errors.New("as many weights as sizes are expected")
	}
	total := 0.0
	for _, weight := range d.Weights {
		total += weight
	}
	if !(total > 0) {
		return errors.New("weights with a positive sum are expected")
	}
	return nil
}

// sigma is the standard deviation of the log-normal's logarithm.
func (d distribution) sigma() float64 { return math.Log(d.P95/d.Median) / z95 }

// mean is the mean of the listed sizes or of the whole log-normal.
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

// leastMean is the mean of the log-normal cut off at its largest value. Whether
// the bench draws larger values anew or lowers them to the largest, their mean is
// this or more.
func (d distribution) leastMean() float64 {
	mean := d.mean()
	if d.Max <= 0 || len(d.Sizes) > 0 || d.P95 <= d.Median {
		return mean
	}
	sigma := d.sigma()
	cut := math.Log(d.Max/d.Median) / sigma
	return mean * normalCDF(cut-sigma) / normalCDF(cut)
}

// normalCDF is the standard normal distribution function.
func normalCDF(x float64) float64 { return math.Erfc(-x/math.Sqrt2) / 2 }
