package autoscaler

import (
	"math"
	"slices"
	"time"

	"lugward/internal/event"
	"lugward/internal/scheduler"
)

const (
	bootSamples = 128 // machines of a type whose boots are remembered
	// The usual boot of a type is looked for between these multiples of the time
	// that the cloud states. Machines that are released as overdue teach nothing, so
	// that after a spell of quick boots a shorter bound would release all that come
	// as stated, and after a spell of slow ones a longer bound would keep machines
	// that never come.
	minBootRatio = 0.5
	maxBootRatio = 2.0
	// Boots differ by half. A machine that takes longer than this many times the
	// usual boot is not counted on: its tasks are planned for anew.
	overdueFactor = 1.5
	// One that takes this many times the usual boot, and at least bootMin, is
	// released.
	bootFactor = 2.0
	bootMin    = 40 * time.Second
	// Another zone, price or type is tried before one whose machines are overdue,
	// unless it costs more than this many times as much.
	overdueCost = 3.0
)

// bootHistory holds how long the machines of a type took to boot lately, as
// multiples of the time that the cloud states.
type bootHistory struct {
	ratios [bootSamples]float64
	count  int
}

// add remembers a boot.
func (h *bootHistory) add(ratio float64) {
	h.ratios[h.count%bootSamples] = ratio
	h.count++
}

// median is the usual boot, within bounds. Machines that were asked for together
// come in the order of their boots, so a mean that follows the last ones would
// stand for the slowest.
func (h *bootHistory) median() float64 {
	if h == nil || h.count == 0 {
		return 1
	}
	sorted := slices.Clone(h.ratios[:min(h.count, bootSamples)])
	slices.Sort(sorted)
	middle := sorted[len(sorted)/2]
	return min(max(middle, minBootRatio), maxBootRatio)
}

// recordBootTime notes how long a machine took to come up. Since a term may begin
// while it boots, only those that we provisioned ourselves count.
func (a *Autoscaler) recordBootTime(booting *bootingMachine, now event.Time) {
	machineType := a.machineTypes.Get(booting.machineType)
	if !booting.ours || machineType == nil || machineType.BootTime <= 0 {
		return
	}
	history := a.boots[booting.machineType]
	if history == nil {
		history = &bootHistory{}
		a.boots[booting.machineType] = history
	}
	history.add((now - booting.since).Seconds() / machineType.BootTime)
}

// expectedBoot is how long a machine of a type usually takes to come up, in
// seconds.
func (a *Autoscaler) expectedBoot(machineType *scheduler.MachineType) float64 {
	return machineType.BootTime * a.boots[machineType.Index].median()
}

// bootTimeout is after which time a machine of a type that has not come up is past
// a number of usual boots. Quick boots do not shorten it.
func (a *Autoscaler) bootTimeout(machineType *scheduler.MachineType, factor float64) event.Time {
	usual := math.Max(machineType.BootTime, a.expectedBoot(machineType))
	return event.Time(factor * usual * float64(time.Second))
}

// isOverdue tells whether a booting machine is not to be counted on any more.
func (a *Autoscaler) isOverdue(booting *bootingMachine, now event.Time) bool {
	machineType := a.machineTypes.Get(booting.machineType)
	return machineType != nil && !booting.up && now-booting.since > a.bootTimeout(machineType, overdueFactor)
}

// overdueOffers lists the offers with overdue machines.
func (a *Autoscaler) overdueOffers(now event.Time) map[offer]bool {
	offers := map[offer]bool{}
	for _, booting := range a.booting {
		if a.isOverdue(booting, now) {
			offers[booting.offer] = true
		}
	}
	return offers
}
