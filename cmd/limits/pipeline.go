package main

import (
	"fmt"
	"math"
	"slices"
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
	Stages   []stage `toml:"stages"`
	Deadline struct {
		Factor float64 `toml:"factor"`
		Plus   float64 `toml:"plus_s"`
	} `toml:"deadline"`
}

// stage is a number of jobs of one class within a pipeline.
type stage struct {
	Class string    `toml:"class"`
	Jobs  []float64 `toml:"jobs"`  // least and most; none: one
	Needs []int     `toml:"needs"` // indices of earlier stages
}

// meanJobs is the mean number of the stage's jobs.
func (st *stage) meanJobs() (float64, error) {
	switch len(st.Jobs) {
	case 0:
		return 1, nil
	case 2:
		return (st.Jobs[0] + st.Jobs[1]) / 2, nil
	}
	return 0, fmt.Errorf("jobs: a least and a most are expected, found %d values", len(st.Jobs))
}

// pipelineJobs counts the jobs of each class that come in pipelines.
func (s *site) pipelineJobs() (map[string]float64, error) {
	jobs := map[string]float64{}
	for i := range s.Pipelines {
		p := &s.Pipelines[i]
		pipelines := p.Arrivals.Rate * math.Max(0, s.horizon()-p.Arrivals.Start)
		for k := range p.Stages {
			n, err := p.Stages[k].meanJobs()
			if err != nil {
				return nil, fmt.Errorf("pipelines %q: stage %d: %w", p.Name, k, err)
			}
			jobs[p.Stages[k].Class] += pipelines * n
		}
	}
	return jobs, nil
}

// path is a path through a pipeline, from a first stage to the one that it is for.
type path struct {
	seconds  float64
	previous int // stage before the last on the path, or none
}

// none stands for no stage.
const none = -1

// longestPaths returns, for each stage, the longest path that ends with it.
func (p *pipeline) longestPaths(seconds map[string]float64) ([]path, error) {
	paths := make([]path, len(p.Stages))
	for k, st := range p.Stages {
		own, ok := seconds[st.Class]
		if !ok {
			return nil, fmt.Errorf("stage %d: no jobs of class %q are described", k, st.Class)
		}
		best := path{seconds: own, previous: none}
		for _, need := range st.Needs {
			if need < 0 || need >= k {
				return nil, fmt.Errorf("stage %d: needs: expected earlier stages, found %d", k, need)
			}
			if through := paths[need].seconds + own; best.previous == none || through > best.seconds {
				best = path{seconds: through, previous: need}
			}
		}
		paths[k] = best
	}
	return paths, nil
}

// pipelineLine bounds how soon a pipeline can be over after its first
// submission: the sum of the mean run times along its longest path. Machines are
// there at once, images cached, and a stage takes no longer than one of its
// tasks: the mean of a longest path is no less than the longest path of the means.
func (s *site) pipelineLine(p *pipeline) (string, error) {
	seconds := map[string]float64{}
	for i := range s.Jobs {
		seconds[s.Jobs[i].Name] = s.Jobs[i].Run.leastMean()
	}
	paths, err := p.longestPaths(seconds)
	if err != nil {
		return "", fmt.Errorf("pipelines %q: %w", p.Name, err)
	}
	last := longest(paths)
	if last == none {
		return "", fmt.Errorf("pipelines %q: at least one stage is expected", p.Name)
	}
	var steps []string
	for k := last; k != none; k = paths[k].previous {
		class := p.Stages[k].Class
		steps = append(steps, fmt.Sprintf("%s %.1f", class, seconds[class]))
	}
	slices.Reverse(steps)
	line := fmt.Sprintf("pipeline %s: done after %.1f s at least, on average (%s)", p.Name, paths[last].seconds, strings.Join(steps, " + "))
	if p.Deadline.Factor > 0 || p.Deadline.Plus > 0 {
		line += fmt.Sprintf("; its deadline is %.2f times what its owner expects plus %.0f s", p.Deadline.Factor, p.Deadline.Plus)
	}
	return line, nil
}

// longest returns the index of the first longest path, or none.
func longest(paths []path) int {
	last := none
	for k := range paths {
		if last == none || paths[k].seconds > paths[last].seconds {
			last = k
		}
	}
	return last
}
