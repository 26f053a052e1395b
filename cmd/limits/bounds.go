package main

import (
	"fmt"
	"math"
)

// weightSteps is the number of steps in which the weight of CPUs goes from 0 to
// 1 in the search for the highest bound.
const weightSteps = 10

// highestBounds returns the bounds with the weight of CPUs that gives the highest
// price: any weight gives a valid bound.
func (s *site) highestBounds() (*bounds, error) {
	var highest *bounds
	for step := range weightSteps + 1 {
		b, err := s.bounds(float64(step) / weightSteps)
		if err != nil {
			return nil, err
		}
		if highest == nil || b.price() > highest.price() {
			highest = b
		}
	}
	return highest, nil
}

// bounds are the bounds for one way to share machines' prices between their
// CPUs and GPUs. All prices are for an hour.
type bounds struct {
	site         *site
	cpuWeight    float64
	pipelineJobs map[string]float64 // jobs of each class that come in pipelines

	runPrice    float64 // of what runs
	bootPrice   float64 // of the boots of machines that are not up at the start
	lowestPrice float64 // of what runs if each class had the cheapest type alone
	cpuSeconds  float64 // of all tasks
	lines       []string
}

// price is the least price of all that the site must pay for.
func (b *bounds) price() float64 { return b.runPrice + b.bootPrice }

func (b *bounds) addLine(format string, args ...any) {
	b.lines = append(b.lines, fmt.Sprintf(format, args...))
}

// bounds computes the bounds with so much of a machine's price laid on its
// CPUs, the rest on its GPUs.
func (s *site) bounds(cpuWeight float64) (*bounds, error) {
	pipelineJobs, err := s.pipelineJobs()
	if err != nil {
		return nil, err
	}
	b := &bounds{site: s, cpuWeight: cpuWeight, pipelineJobs: pipelineJobs}
	for i := range s.Jobs {
		if err := b.addClass(&s.Jobs[i]); err != nil {
			return nil, err
		}
	}
	for i := range s.Pipelines {
		line, err := s.pipelineLine(&s.Pipelines[i])
		if err != nil {
			return nil, err
		}
		b.addLine("%s", line)
	}
	for _, o := range s.Objectives {
		if o.Kind == kindMakespan {
			b.addMakespan(o)
		}
	}
	b.addLine("price: at least %.2f", b.price()/b.lowestPrice)
	b.addLine("useful: at most %.2f (each rented machine boots once)", b.runPrice/b.price())
	return b, nil
}

// addClass adds the bounds of a class of jobs.
func (b *bounds) addClass(job *jobClass) error {
	options := b.site.options(job, b.cpuWeight)
	if len(options) == 0 {
		return fmt.Errorf("jobs %q: a task fits no machine type", job.Name)
	}
	horizon := b.site.horizon()
	jobs := job.Initial + job.Arrivals.Rate*horizon + b.pipelineJobs[job.Name]
	load := jobs * job.Tasks.mean() * job.Run.mean() / horizon // tasks running, on average
	b.cpuSeconds += load * job.CPUs * horizon
	b.addLoad(job, load, options)
	for _, o := range b.site.Objectives {
		if o.Kind == kindWait && o.Class == job.Name {
			b.addWait(job, o, jobs, options)
		}
	}
	return nil
}

// addLoad puts a class's load on the cheapest machines first.
func (b *bounds) addLoad(job *jobClass, load float64, options []option) {
	price, bootPrice, cheapest, left := 0.0, 0.0, math.Inf(1), load
	for _, o := range options {
		tasks := math.Min(left, o.capacity)
		price += tasks * o.price
		bootPrice += math.Max(0, tasks-o.capacityUp) * o.price * o.machineType.Boot / b.site.horizon()
		left -= tasks
		cheapest = math.Min(cheapest, o.fullMachinePrice)
	}
	b.runPrice += price
	b.bootPrice += bootPrice
	b.lowestPrice += load * cheapest
	line := fmt.Sprintf("%s: %.1f tasks run on average, %.2f an hour at least (%.2f at the lowest price)", job.Name, load, price, load*cheapest)
	if left > 0 {
		line += fmt.Sprintf("; %.1f tasks more than all machines hold", left)
	}
	b.addLine("%s", line)
}

// quickestBoot is the part of the nominal boot time that no machine undercuts.
const quickestBoot = 0.6

// addWait bounds the share of jobs that begin in time: jobs that are there at
// the start and find no machine up wait for the quickest boot and the fetch.
func (b *bounds) addWait(job *jobClass, wait objective, jobs float64, options []option) {
	up, soonest := 0.0, math.Inf(1)
	for _, o := range options {
		up += o.wholeTasksUp
		soonest = math.Min(soonest, quickestBoot*o.machineType.Boot+job.Images.GB.Median/o.machineType.Fetch)
	}
	late := 0.0
	if soonest > wait.Within && jobs > 0 {
		late = math.Max(0, job.Initial-up/job.Tasks.mean())
	}
	inTime := 1 - late/math.Max(1, jobs)
	b.addLine("  wait %.0f s: at most %.3f of %.0f jobs (quickest machine after %.0f s, %.0f tasks find one up)",
		wait.Within, inTime, jobs, soonest, up)
}

// addMakespan bounds the time until a share of the work is done: that share
// comes no sooner, and all CPUs need their time for it.
func (b *bounds) addMakespan(makespan objective) {
	cpus := 0.0
	for i := range b.site.MachineTypes {
		onDemand, spot := b.site.count(b.site.MachineTypes[i].Name)
		cpus += b.site.MachineTypes[i].CPUs * (onDemand + spot)
	}
	busy := b.cpuSeconds / cpus
	b.addLine("makespan: at least %.0f s (%.0f s of every core there is)", makespan.Share*math.Max(b.site.horizon(), busy), busy)
}
