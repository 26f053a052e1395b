package main

import (
	"math"
	"sort"
)

// option is a way to run a class: on a machine type, spot or not. Shares of a
// machine are weighted shares of its CPUs and GPUs.
type option struct {
	price            float64 // an hour per task, by shares
	fullMachinePrice float64 // an hour per task on a machine full of them
	capacity         float64 // tasks that all machines hold, by shares
	capacityUp       float64 // the same of the machines up at the start
	tasksUp          float64 // whole tasks that machines up at the start hold
	boot             float64 // seconds, nominal
	fetch            float64 // GB per second
}

// fitTolerance absorbs rounding where tasks fill a machine exactly.
const fitTolerance = 1e-9

// tasksPerMachine is how many whole tasks of a class a machine holds.
func tasksPerMachine(t *machineType, job *jobClass) float64 {
	fit := math.Inf(1)
	for _, resource := range []struct{ has, needs float64 }{
		{t.CPUs, job.CPUs},
		{t.GPUs, job.GPUs},
		{t.Memory, job.Memory},
	} {
		if resource.needs > 0 {
			fit = math.Min(fit, math.Floor(resource.has/resource.needs+fitTolerance))
		}
	}
	return fit
}

// options lists the ways to run a class, the cheapest per task first. cpuWeight
// is the part of a machine's price that is laid on its CPUs; the rest is on its
// GPUs.
func (s *site) options(job *jobClass, cpuWeight float64) []option {
	var options []option
	for i := range s.Types {
		t := &s.Types[i]
		fit := tasksPerMachine(t, job)
		if !job.allows(t.Name) || fit < 1 {
			continue
		}
		share := job.CPUs / t.CPUs
		if t.GPUs > 0 {
			share = cpuWeight*share + (1-cpuWeight)*job.GPUs/t.GPUs
		}
		count, spot := s.count(t.Name)
		up := s.countUp(t.Name)
		options = append(options, option{
			price:            t.Price * share,
			fullMachinePrice: t.Price / fit,
			capacity:         tasksByShare(count, share),
			capacityUp:       tasksByShare(up, share),
			tasksUp:          up * fit,
			boot:             t.Boot,
			fetch:            t.Fetch,
		})
		if job.Spot && spot > 0 {
			options = append(options, option{
				price:            t.Spot * share,
				fullMachinePrice: t.Spot / fit,
				capacity:         tasksByShare(spot, share),
				boot:             t.Boot,
				fetch:            t.Fetch,
			})
		}
	}
	sort.SliceStable(options, func(a, b int) bool { return options[a].price < options[b].price })
	return options
}

// tasksByShare is the number of tasks that machines hold if each takes a share.
func tasksByShare(machines, share float64) float64 {
	if share == 0 {
		return math.Inf(1)
	}
	return machines / share
}

// count returns the ordinary and the spot machines of a type in all zones.
func (s *site) count(machineType string) (ordinary, spot float64) {
	for _, c := range s.Capacity {
		if c.Type == machineType {
			ordinary += c.Count
			spot += c.Spot
		}
	}
	return ordinary, spot
}

// countUp returns the machines of a type that are up at the start.
func (s *site) countUp(machineType string) float64 {
	up := 0.0
	for _, m := range s.Machines {
		if m.Type == machineType {
			up += m.Count
		}
	}
	return up
}
