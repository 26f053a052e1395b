package autoscaler

import (
	"math"
	"slices"
	"time"

	"lugward/internal/event"
	"lugward/internal/pipeline"
	"lugward/internal/scheduler"
)

const (
	bootSamples = 128 // boots of a machine type that are remembered
	// The median boot time of a type is kept between these multiples of the time that
	// the cloud states. Machines that are released after their boot timeout are not
	// measured, so that after a spell of quick boots a lower bound would release all
	// machines that come as stated, and after a spell of slow ones a higher bound would
	// keep machines that never come.
	minBootRatio = 0.5
	maxBootRatio = 2.0
	// Boot times differ by half. A machine that takes longer than this many times the
	// expected boot time is overdue: its tasks are planned for anew.
	overdueFactor = 1.5
	// The boot timeout is this many times the expected boot time, and at least
	// minBootTimeout.
	bootTimeoutFactor = 2.0
	minBootTimeout    = 40 * time.Second
)

// bootHistory holds how long the last machines of a type took to boot, as multiples
// of the time that the cloud states. A nil history is empty.
type bootHistory struct {
	ratios [bootSamples]float64
	count  int
}

// add records a boot.
func (h *bootHistory) add(ratio float64) {
	h.ratios[h.count%bootSamples] = ratio
	h.count++
}

// median is the median of the recorded ratios, within bounds, and 1 without any.
// Machines that were asked for together come in the order of their boot times, so a
// moving average would stand for the slowest.
func (h *bootHistory) median() float64 {
	if h == nil || h.count == 0 {
		return 1
	}
	sorted := slices.Clone(h.ratios[:min(h.count, bootSamples)])
	slices.Sort(sorted)
	middle := sorted[len(sorted)/2]
	return min(max(middle, minBootRatio), maxBootRatio)
}

// bootTimes estimates how long machines take to boot.
type bootTimes struct {
	catalog   *machineTypeCatalog
	histories map[pipeline.MachineTypeIndex]*bootHistory // by machine type
}

// record records how long a machine of a type took to boot.
func (b *bootTimes) record(machineType pipeline.MachineTypeIndex, took time.Duration) {
	known := b.catalog.get(machineType)
	if known == nil || known.BootTime <= 0 {
		return
	}
	history := b.histories[machineType]
	if history == nil {
		history = &bootHistory{}
		b.histories[machineType] = history
	}
	history.add(took.Seconds() / known.BootTime)
}

// expected is how long a machine of a type takes to boot by the median, in seconds.
func (b *bootTimes) expected(machineType *scheduler.MachineType) float64 {
	return machineType.BootTime * b.histories[machineType.Index].median()
}

// timeout is a multiple of the expected boot time of a type. Quick boots do not
// shorten it.
func (b *bootTimes) timeout(machineType *scheduler.MachineType, factor float64) event.Time {
	expected := math.Max(machineType.BootTime, b.expected(machineType))
	return event.Time(factor * expected * float64(time.Second))
}
