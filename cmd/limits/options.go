package main

import (
	"math"
	"sort"
)

// option is a way to run a class: on a machine type, spot or not. Shares of a
// machine are weighted shares of its CPUs and GPUs. Prices are for an hour.
type option struct {
	machineType      *machineType
	price            float64 // per task, by its share of a machine
	fullMachinePrice float64 // per task on a machine full of them
	capacity         float64 // tasks that all machines hold, by shares
	capacityUp       float64 // the same of the machines up at the start
	wholeTasksUp     float64 // whole tasks that machines up at the start hold
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

// machineShare is a task's share of a machine, of whose price cpuWeight is laid on
// the CPUs and the rest on the GPUs.
func machineShare(t *machineType, job *jobClass, cpuWeight float64) float64 {
	share := job.CPUs / t.CPUs
	if t.GPUs > 0 {
		share = cpuWeight*share + (1-cpuWeight)*job.GPUs/t.GPUs
	}
	return share
}

// options lists the ways to run a class, the cheapest per task first.
func (s *site) options(job *jobClass, cpuWeight float64) []option {
	var options []option
	for i := range s.MachineTypes {
		t := &s.MachineTypes[i]
		fit := tasksPerMachine(t, job)
		if !job.allows(t.Name) || fit < 1 {
			continue
		}
		share := machineShare(t, job, cpuWeight)
		onDemand, spot := s.count(t.Name)
		up := s.countUp(t.Name)
		options = append(options, option{
			machineType:      t,
			price:            t.Price * share,
			fullMachinePrice: t.Price / fit,
			capacity:         tasksByShare(onDemand, share),
			capacityUp:       tasksByShare(up, share),
			wholeTasksUp:     up * fit,
		})
		if job.Spot && spot > 0 {
			options = append(options, option{
				machineType:      t,
				price:            t.SpotPrice * share,
				fullMachinePrice: t.SpotPrice / fit,
				capacity:         tasksByShare(spot, share),
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

// count returns the on-demand and the spot machines of a type in all zones.
func (s *site) count(machineType string) (onDemand, spot float64) {
	for _, c := range s.Capacity {
		if c.Type == machineType {
			onDemand += c.Count
			spot += c.Spot
		}
	}
	return onDemand, spot
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
