package main

import (
	"fmt"
	"math"
)

// weightSteps is the number of steps in which tightestBounds raises the CPU weight from
// 0 to 1.
const weightSteps = 10

// tightestBounds returns the bounds for the CPU weight with the highest minimum price. Any
// weight gives a valid bound, so the highest is the tightest.
func (s *site) tightestBounds() (*bounds, error) {
	var tightest *bounds
	for step := range weightSteps + 1 {
		b, err := s.bounds(float64(step) / weightSteps)
		if err != nil {
			return nil, err
		}
		if tightest == nil || b.price() > tightest.price() {
			tightest = b
		}
	}
	return tightest, nil
}

// bounds holds the bounds for one split of the machine prices between CPUs and GPUs. All
// prices are per hour.
type bounds struct {
	site         *site
	cpuWeight    float64
	pipelineJobs map[string]float64 // number of jobs submitted by pipelines, by class

	runPrice          float64 // price of the running tasks
	bootPrice         float64 // price of booting the machines that are not up at the start
	cheapestTypePrice float64 // price of the running tasks with every class on its cheapest machine type alone
	cpuSeconds        float64 // CPU time of all tasks
	lines             []string
}

// price returns the minimum price of the running tasks and the machine boots.
func (b *bounds) price() float64 { return b.runPrice + b.bootPrice }

func (b *bounds) addLine(format string, args ...any) {
	b.lines = append(b.lines, fmt.Sprintf(format, args...))
}

// bounds computes the bounds with the fraction cpuWeight of each machine's price assigned
// to its CPUs and the rest to its GPUs.
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
	b.addLine("price: at least %.2f", b.price()/b.cheapestTypePrice)
	b.addLine("useful: at most %.2f (each rented machine boots once)", b.runPrice/b.price())
	return b, nil
}

// addClass adds the bounds for a job class.
func (b *bounds) addClass(job *jobClass) error {
	options := b.site.options(job, b.cpuWeight)
	if len(options) == 0 {
		return fmt.Errorf("jobs %q: a task fits on no allowed machine type", job.Name)
	}
	horizon := b.site.horizon()
	jobs := job.InitialJobs + job.Arrivals.Rate*horizon + b.pipelineJobs[job.Name]
	load := jobs * job.Tasks.mean() * job.Run.mean() / horizon // average number of running tasks
	b.cpuSeconds += load * job.CPUs * horizon
	b.addLoad(job, load, options)
	for _, o := range b.site.Objectives {
		if o.Kind == kindWait && o.Class == job.Name {
			b.addWait(job, o, jobs, options)
		}
	}
	return nil
}

// addLoad adds the price of a class's load, placed on the cheapest options first. options
// is sorted by price.
func (b *bounds) addLoad(job *jobClass, load float64, options []option) {
	price, bootPrice, cheapest, remaining := 0.0, 0.0, math.Inf(1), load
	for _, o := range options {
		tasks := math.Min(remaining, o.capacity)
		price += tasks * o.price
		bootPrice += math.Max(0, tasks-o.capacityAtStart) * o.price * o.machineType.BootSeconds / b.site.horizon()
		remaining -= tasks
		cheapest = math.Min(cheapest, o.fullMachinePrice)
	}
	b.runPrice += price
	b.bootPrice += bootPrice
	b.cheapestTypePrice += load * cheapest
	line := fmt.Sprintf("%s: %.1f tasks run on average, at least %.2f per hour (%.2f on the cheapest machine type alone)", job.Name, load, price, load*cheapest)
	if remaining > 0 {
		line += fmt.Sprintf("; %.1f tasks exceed the capacity of all machines", remaining)
	}
	b.addLine("%s", line)
}

// minBootShare is the fraction of the nominal boot time that every machine needs at least.
const minBootShare = 0.6

// addWait bounds the share of jobs that start in time. Jobs that are queued at the start
// and do not fit on the machines up at the start wait at least for the fastest boot and
// image fetch.
func (b *bounds) addWait(job *jobClass, wait objective, jobs float64, options []option) {
	tasksAtStart, earliest := 0.0, math.Inf(1)
	for _, o := range options {
		tasksAtStart += o.wholeTasksAtStart
		earliest = math.Min(earliest, minBootShare*o.machineType.BootSeconds+job.Images.GB.Median/o.machineType.FetchGBPerSecond)
	}
	late := 0.0
	if earliest > wait.Within && jobs > 0 {
		late = math.Max(0, job.InitialJobs-tasksAtStart/job.Tasks.mean())
	}
	inTime := 1 - late/math.Max(1, jobs)
	b.addLine("  wait %.0f s: at most %.3f of %.0f jobs (first new machine ready after %.0f s, %.0f tasks fit on machines up at the start)",
		wait.Within, inTime, jobs, earliest, tasksAtStart)
}

// addMakespan bounds the time until the given share of the work is completed. That share
// of the work is submitted no earlier than the same share of the horizon, and all CPUs
// together need at least that share of the tasks' CPU time.
func (b *bounds) addMakespan(makespan objective) {
	cpus := 0.0
	for i := range b.site.MachineTypes {
		onDemand, spot := b.site.count(b.site.MachineTypes[i].Name)
		cpus += b.site.MachineTypes[i].CPUs * (onDemand + spot)
	}
	secondsPerCPU := b.cpuSeconds / cpus
	b.addLine("makespan: at least %.0f s (%.0f s of work per CPU)", makespan.Share*math.Max(b.site.horizon(), secondsPerCPU), secondsPerCPU)
}
