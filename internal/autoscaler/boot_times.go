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
	bootHistorySize = 128 // number of recent boots kept per machine type
	// The median boot time of a type is limited to these multiples of the boot time
	// stated by the cloud. Machines that are released at their boot timeout are not
	// recorded. With a lower minimum, a series of quick boots would therefore cause all
	// machines that boot in the stated time to be released. With a higher maximum, a
	// series of slow boots would cause machines that never register to be kept.
	minBootRatio = 0.5
	maxBootRatio = 2.0
	// A machine is overdue when it has been booting for longer than this multiple of
	// its expected boot time; its tasks are then planned for again. Boot times vary by
	// half.
	overdueFactor = 1.5
	// The boot timeout is this multiple of the expected boot time, but not less than
	// minBootTimeout.
	bootTimeoutFactor = 2.0
	minBootTimeout    = 40 * time.Second
)

// bootHistory holds the boot times of the most recent machines of a type, as ratios to
// the boot time stated by the cloud. A nil history is empty.
type bootHistory struct {
	ratios [bootHistorySize]float64
	count  int
}

// add records the ratio of one boot, replacing the oldest if the history is full.
func (h *bootHistory) add(ratio float64) {
	h.ratios[h.count%bootHistorySize] = ratio
	h.count++
}

// median returns the median of the recorded ratios, limited to minBootRatio and
// maxBootRatio, or 1 if the history is empty. Machines that were requested together
// register in the order of their boot times, so a moving average would mostly reflect
// the slowest of them.
func (h *bootHistory) median() float64 {
	if h == nil || h.count == 0 {
		return 1
	}
	sorted := slices.Clone(h.ratios[:min(h.count, bootHistorySize)])
	slices.Sort(sorted)
	median := sorted[len(sorted)/2]
	return min(max(median, minBootRatio), maxBootRatio)
}

// bootTimes estimates how long machines take to boot.
type bootTimes struct {
	catalog   *machineTypeCatalog
	histories map[pipeline.MachineTypeIndex]*bootHistory
}

// record records the boot time of one machine of the type with the given index.
func (b *bootTimes) record(index pipeline.MachineTypeIndex, bootTime time.Duration) {
	machineType := b.catalog.get(index)
	if machineType == nil || machineType.BootTime <= 0 {
		return
	}
	history := b.histories[index]
	if history == nil {
		history = &bootHistory{}
		b.histories[index] = history
	}
	history.add(bootTime.Seconds() / machineType.BootTime)
}

// expectedSeconds returns the expected boot time of a machine type in seconds, based on the
// median of recent boots.
func (b *bootTimes) expectedSeconds(machineType *scheduler.MachineType) float64 {
	return machineType.BootTime * b.histories[machineType.Index].median()
}

// timeout returns factor times the expected boot time of a type. The stated boot time is
// the minimum for the expected one, so that quick boots do not shorten the timeout.
func (b *bootTimes) timeout(machineType *scheduler.MachineType, factor float64) event.Time {
	expected := math.Max(machineType.BootTime, b.expectedSeconds(machineType))
	return event.Time(factor * expected * float64(time.Second))
}
