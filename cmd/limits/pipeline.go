package main

import (
	"fmt"
	"math"
	"strings"
)

// pipeline is a graph of jobs that comes as one. The jobs of a stage start
// once all jobs of the stages that it needs are done.
type pipeline struct {
	Name     string `toml:"name"`
	Arrivals struct {
		Rate  float64 `toml:"rate"`
		Start float64 `toml:"start_s"`
	} `toml:"arrivals"`
	Stages []struct {
		Class string    `toml:"class"`
		Jobs  []float64 `toml:"jobs"` // least and most, none: one
		Needs []int     `toml:"needs"`
	} `toml:"stages"`
	Deadline struct {
		Factor float64 `toml:"factor"`
		Plus   float64 `toml:"plus_s"`
	} `toml:"deadline"`
}

// chained counts the jobs of each class that come in pipelines.
func (s *site) chained(horizon float64) (map[string]float64, error) {
	jobs := map[string]float64{}
	for i := range s.Pipelines {
		p := &s.Pipelines[i]
		for k, st := range p.Stages {
			n := 1.0
			switch len(st.Jobs) {
			case 0:
			case 2:
				n = (st.Jobs[0] + st.Jobs[1]) / 2
			default:
				return nil, fmt.Errorf("pipeline %s, stage %d: jobs is not a least and a most", p.Name, k)
			}
			jobs[st.Class] += p.Arrivals.Rate * math.Max(0, horizon-p.Arrivals.Start) * n
		}
	}
	return jobs, nil
}

// least is a mean that no draw within the listed bounds goes below: that of
// the log-normal cut off at the largest value. Whether the larger ones are
// drawn anew or brought down to it, their mean is this or more.
func (s spread) least() float64 {
	m := s.mean()
	if s.Max <= 0 || len(s.Sizes) > 0 || s.P95 <= s.Median {
		return m
	}
	const z95 = 1.6449
	sigma := math.Log(s.P95/s.Median) / z95
	d := math.Log(s.Max/s.Median) / sigma
	return m * normal(d-sigma) / normal(d)
}

// normal is the standard normal distribution function.
func normal(x float64) float64 { return math.Erfc(-x/math.Sqrt2) / 2 }

// chain bounds how soon a pipeline can be over after its first submission: the
// sum of the mean run times along its longest path. Machines are there at
// once, images cached, and a stage takes no longer than one of its tasks: the
// mean of a longest path is no less than the longest path of the means.
func (s *site) chain(p *pipeline) (string, error) {
	took := map[string]float64{}
	for i := range s.Jobs {
		took[s.Jobs[i].Name] = s.Jobs[i].Run.least()
	}
	sum, before := make([]float64, len(p.Stages)), make([]int, len(p.Stages))
	last := -1
	for k, st := range p.Stages {
		own, ok := took[st.Class]
		if !ok {
			return "", fmt.Errorf("pipeline %s, stage %d: no class %q", p.Name, k, st.Class)
		}
		before[k] = -1
		for _, n := range st.Needs {
			if n < 0 || n >= k {
				return "", fmt.Errorf("pipeline %s, stage %d needs stage %d, which isn't before it", p.Name, k, n)
			}
			if before[k] < 0 || sum[n] > sum[before[k]] {
				before[k] = n
			}
		}
		sum[k] = own
		if before[k] >= 0 {
			sum[k] += sum[before[k]]
		}
		if last < 0 || sum[k] > sum[last] {
			last = k
		}
	}
	if last < 0 {
		return "", fmt.Errorf("pipeline %s has no stages", p.Name)
	}
	var path []string
	for k := last; k >= 0; k = before[k] {
		c := p.Stages[k].Class
		path = append([]string{fmt.Sprintf("%s %.1f", c, took[c])}, path...)
	}
	text := fmt.Sprintf("pipeline %s: done after %.1f s at least, on average (%s)", p.Name, sum[last], strings.Join(path, " + "))
	if p.Deadline.Factor > 0 || p.Deadline.Plus > 0 {
		text += fmt.Sprintf("; its deadline is %.2f times what its owner expects plus %.0f s", p.Deadline.Factor, p.Deadline.Plus)
	}
	return text, nil
}
