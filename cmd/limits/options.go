package main

import (
	"math"
	"sort"
)

// option is a machine type, on demand or spot, that can run the tasks of a class. Shares
// of a machine are weighted shares of its CPUs and GPUs. Prices are per hour.
type option struct {
	machineType       *machineType
	price             float64 // per task, by the task's share of a machine
	fullMachinePrice  float64 // per task on a machine that holds as many as fit
	capacity          float64 // tasks that all machines hold, by shares
	capacityAtStart   float64 // tasks that the machines up at the start hold, by shares
	wholeTasksAtStart float64 // whole tasks that the machines up at the start hold
}

// fitTolerance absorbs rounding errors when tasks fill a machine exactly.
const fitTolerance = 1e-9

// tasksPerMachine returns the number of whole tasks of a class that fit on a machine.
func tasksPerMachine(t *machineType, job *jobClass) float64 {
	fit := math.Inf(1)
	for _, resource := range []struct{ has, needs float64 }{
		{t.CPUs, job.CPUs},
		{t.GPUs, job.GPUs},
		{t.MemoryGB, job.MemoryGB},
	} {
		if resource.needs > 0 {
			fit = math.Min(fit, math.Floor(resource.has/resource.needs+fitTolerance))
		}
	}
	return fit
}

// machineShare returns a task's share of a machine, with the fraction cpuWeight of the
// machine's price assigned to its CPUs and the rest to its GPUs.
func machineShare(t *machineType, job *jobClass, cpuWeight float64) float64 {
	share := job.CPUs / t.CPUs
	if t.GPUs > 0 {
		share = cpuWeight*share + (1-cpuWeight)*job.GPUs/t.GPUs
	}
	return share
}

// options returns the options for a class, sorted by price per task.
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
		atStart := s.countAtStart(t.Name)
		options = append(options, option{
			machineType:       t,
			price:             t.Price * share,
			fullMachinePrice:  t.Price / fit,
			capacity:          tasksByShare(onDemand, share),
			capacityAtStart:   tasksByShare(atStart, share),
			wholeTasksAtStart: atStart * fit,
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

// tasksByShare returns the number of tasks that a number of machines holds if each task
// takes the given share of a machine.
func tasksByShare(machines, share float64) float64 {
	if share == 0 {
		return math.Inf(1)
	}
	return machines / share
}

// count returns the number of on-demand and of spot machines of a type in all zones.
func (s *site) count(machineType string) (onDemand, spot float64) {
	for _, c := range s.Capacity {
		if c.Type == machineType {
			onDemand += c.Count
			spot += c.Spot
		}
	}
	return onDemand, spot
}

// countAtStart returns the number of machines of a type that are up at the start.
func (s *site) countAtStart(machineType string) float64 {
	count := 0.0
	for _, m := range s.Machines {
		if m.Type == machineType {
			count += m.Count
		}
	}
	return count
}
