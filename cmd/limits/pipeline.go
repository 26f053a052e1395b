package main

import (
	"fmt"
	"math"
	"slices"
	"strings"
)

// pipeline is a graph of jobs that are submitted together. The jobs of a stage start once
// all jobs of the stages that it needs are done.
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
	Jobs  []float64 `toml:"jobs"`  // minimum and maximum number of jobs; empty means one job
	Needs []int     `toml:"needs"` // indices of earlier stages
}

// meanJobs returns the mean number of jobs in the stage.
func (st *stage) meanJobs() (float64, error) {
	switch len(st.Jobs) {
	case 0:
		return 1, nil
	case 2:
		return (st.Jobs[0] + st.Jobs[1]) / 2, nil
	}
	return 0, fmt.Errorf("jobs: expected a minimum and a maximum, found %d values", len(st.Jobs))
}

// pipelineJobs returns the expected number of jobs submitted by pipelines, by class.
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

// path is a path through a pipeline. It starts with a stage that needs no other and ends
// with the stage that it was computed for.
type path struct {
	seconds  float64
	previous int // stage before the path's last stage, or noStage
}

// noStage is the stage index that means that there is no stage.
const noStage = -1

// longestPaths returns, for each stage, the longest path that ends with it, given the run
// time of each class in seconds.
func (p *pipeline) longestPaths(seconds map[string]float64) ([]path, error) {
	paths := make([]path, len(p.Stages))
	for k, st := range p.Stages {
		own, ok := seconds[st.Class]
		if !ok {
			return nil, fmt.Errorf("stage %d: the site has no jobs of class %q", k, st.Class)
		}
		best := path{seconds: own, previous: noStage}
		for _, need := range st.Needs {
			if need < 0 || need >= k {
				return nil, fmt.Errorf("stage %d: needs: expected indices of earlier stages, found %d", k, need)
			}
			if through := paths[need].seconds + own; best.previous == noStage || through > best.seconds {
				best = path{seconds: through, previous: need}
			}
		}
		paths[k] = best
	}
	return paths, nil
}

// pipelineLine returns the line with the minimum time from a pipeline's first submission
// to its end: the sum of the mean run times along its longest path. It assumes that
// machines are available at once, that images are cached, and that a stage takes no longer
// than one of its tasks. This is a lower bound because the mean duration of the longest
// path is at least the longest path of the mean durations.
func (s *site) pipelineLine(p *pipeline) (string, error) {
	seconds := map[string]float64{}
	for i := range s.Jobs {
		seconds[s.Jobs[i].Name] = s.Jobs[i].Run.truncatedMean()
	}
	paths, err := p.longestPaths(seconds)
	if err != nil {
		return "", fmt.Errorf("pipelines %q: %w", p.Name, err)
	}
	last := indexOfLongest(paths)
	if last == noStage {
		return "", fmt.Errorf("pipelines %q: expected at least one stage", p.Name)
	}
	var steps []string
	for k := last; k != noStage; k = paths[k].previous {
		class := p.Stages[k].Class
		steps = append(steps, fmt.Sprintf("%s %.1f", class, seconds[class]))
	}
	slices.Reverse(steps)
	line := fmt.Sprintf("pipeline %s: at least %.1f s on average (%s)", p.Name, paths[last].seconds, strings.Join(steps, " + "))
	if p.Deadline.Factor > 0 || p.Deadline.Plus > 0 {
		line += fmt.Sprintf("; deadline: %.2f times the owner's expected duration plus %.0f s", p.Deadline.Factor, p.Deadline.Plus)
	}
	return line, nil
}

// indexOfLongest returns the index of the longest path, the first of several equal ones, or
// noStage if there is no path.
func indexOfLongest(paths []path) int {
	last := noStage
	for k := range paths {
		if last == noStage || paths[k].seconds > paths[last].seconds {
			last = k
		}
	}
	return last
}
