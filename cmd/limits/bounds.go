package main

import (
	"fmt"
	"math"
	"strings"
)

// bounds are the bounds for one way to share machines' prices between their
// CPUs and GPUs. All prices are for an hour.
type bounds struct {
	site      *site
	cpuWeight float64
	chained   map[string]float64 // jobs of each class that come in pipelines

	running float64 // price of what runs
	booting float64 // price of the boots of machines that are not up
	lowest  float64 // price of what runs if each class had the cheapest type alone
	work    float64 // CPU seconds
	text    strings.Builder
}

// cost is the price of all that the site must pay for.
func (b *bounds) cost() float64 { return b.running + b.booting }

// bounds computes the bounds with so much of a machine's price laid on its
// CPUs, the rest on its GPUs.
func (s *site) bounds(cpuWeight float64) (*bounds, error) {
	chained, err := s.chainedJobs()
	if err != nil {
		return nil, err
	}
	b := &bounds{site: s, cpuWeight: cpuWeight, chained: chained}
	for i := range s.Jobs {
		if err := b.addClass(&s.Jobs[i]); err != nil {
			return nil, err
		}
	}
	for i := range s.Pipelines {
		text, err := s.describePipeline(&s.Pipelines[i])
		if err != nil {
			return nil, err
		}
		fmt.Fprintln(&b.text, text)
	}
	for _, t := range s.Targets {
		if t.Kind == "makespan" {
			b.addMakespan(t)
		}
	}
	fmt.Fprintf(&b.text, "price: at least %.2f\n", b.cost()/b.lowest)
	fmt.Fprintf(&b.text, "useful: at most %.2f (each rented machine boots once)\n", b.running/b.cost())
	return b, nil
}

// addClass puts a class's load on the cheapest machines first.
func (b *bounds) addClass(job *jobClass) error {
	options := b.site.options(job, b.cpuWeight)
	if len(options) == 0 {
		return fmt.Errorf("jobs %q: a task fits no machine type", job.Name)
	}
	horizon := b.site.horizon()
	jobs := job.Initial + job.Arrivals.Rate*horizon + b.chained[job.Name]
	load := jobs * job.Tasks.mean() * job.Run.mean() / horizon // tasks running, on average
	b.work += load * job.CPUs * horizon
	price, boots, cheapest, left := 0.0, 0.0, math.Inf(1), load
	for _, o := range options {
		tasks := math.Min(left, o.capacity)
		price += tasks * o.price
		boots += math.Max(0, tasks-o.capacityUp) * o.price * o.boot / horizon
		left -= tasks
		cheapest = math.Min(cheapest, o.fullMachinePrice)
	}
	b.running += price
	b.booting += boots
	b.lowest += load * cheapest
	fmt.Fprintf(&b.text, "%s: %.1f tasks run on average, %.2f an hour at least (%.2f at the lowest price)", job.Name, load, price, load*cheapest)
	if left > 0 {
		fmt.Fprintf(&b.text, "; %.1f tasks more than all machines hold", left)
	}
	fmt.Fprintln(&b.text)
	for _, t := range b.site.Targets {
		if t.Kind == "wait" && t.Class == job.Name {
			b.addWait(job, t, jobs, options)
		}
	}
	return nil
}

// quickestBoot is the part of the nominal boot time that no machine undercuts.
const quickestBoot = 0.6

// addWait bounds the share of jobs that begin in time: jobs that are there at
// the start and find no machine up wait for the quickest boot and the fetch.
func (b *bounds) addWait(job *jobClass, t target, jobs float64, options []option) {
	up, soonest := 0.0, math.Inf(1)
	for _, o := range options {
		up += o.tasksUp
		soonest = math.Min(soonest, quickestBoot*o.boot+job.Images.GB.Median/o.fetch)
	}
	late := 0.0
	if soonest > t.Within && jobs > 0 {
		late = math.Max(0, job.Initial-up/job.Tasks.mean())
	}
	inTime := 1 - late/math.Max(1, jobs)
	fmt.Fprintf(&b.text, "  wait %.0f s: at most %.3f of %.0f jobs (quickest machine after %.0f s, %.0f tasks find one up)\n",
		t.Within, inTime, jobs, soonest, up)
}

// addMakespan bounds the time until a share of the work is done: that share
// comes no sooner, and all CPUs need their time for it.
func (b *bounds) addMakespan(t target) {
	cpus := 0.0
	for i := range b.site.Types {
		ordinary, spot := b.site.count(b.site.Types[i].Name)
		cpus += b.site.Types[i].CPUs * (ordinary + spot)
	}
	busy := b.work / cpus
	fmt.Fprintf(&b.text, "makespan: at least %.0f s (%.0f s of every core there is)\n", t.Share*math.Max(b.site.horizon(), busy), busy)
}
