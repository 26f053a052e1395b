package autoscaler

import (
	"slices"

	"lugward/internal/event"
	"lugward/internal/pipeline"
	"lugward/internal/scheduler"
)

// capacityForecast holds the expected free capacity of the machines at the time when a
// machine requested now would be running. Tasks are placed on it only for planning.
type capacityForecast struct {
	now                   event.Time
	capacities            []*scheduler.Capacity                         // of running, booting and requested machines, nil for an unknown type
	booting               map[pipeline.MachineIndex]*scheduler.Capacity // of booting machines, nil for an unknown type
	releasedWithinSeconds float64                                       // capacity of tasks that end within this time has been freed
}

// add adds the capacity of a requested machine.
func (f *capacityForecast) add(capacity *scheduler.Capacity) {
	f.capacities = append(f.capacities, capacity)
}

// addBooting adds the capacity of a booting machine.
func (f *capacityForecast) addBooting(machine pipeline.MachineIndex, capacity *scheduler.Capacity) {
	f.booting[machine] = capacity
	if capacity != nil {
		f.add(capacity)
	}
}

// releaseWithin frees the capacity of tasks that are expected to end within the given
// number of seconds.
func (f *capacityForecast) releaseWithin(seconds float64) {
	if seconds <= f.releasedWithinSeconds {
		return // already freed for an earlier job whose machines boot at least as long
	}
	f.releasedWithinSeconds = seconds
	for _, capacity := range f.capacities {
		if capacity != nil {
			capacity.FreeWithin(seconds)
		}
	}
}

// hasMachineFor reports whether a task of the job would fit on at least one of the
// machines if the machine were empty.
func (f *capacityForecast) hasMachineFor(job *pipeline.Job) bool {
	return slices.ContainsFunc(f.capacities, func(capacity *scheduler.Capacity) bool {
		return capacity != nil && capacity.Matches(&job.Spec) && capacity.MachineType.CanRun(&job.Spec)
	})
}

// place places up to the given number of tasks of a job in a zone, or in any zone if zone
// is pipeline.AnyZone. It adds the placed tasks to tasksPerZone and returns the number of
// tasks that could not be placed.
func (f *capacityForecast) place(job *pipeline.Job, tasks int, tasksPerZone scheduler.ZoneCounts, zone pipeline.ZoneIndex) (left int) {
	left = tasks
	for _, capacity := range f.capacities {
		if left == 0 {
			break
		}
		if !f.isUsable(job, capacity, zone) {
			continue
		}
		count := min(left, capacity.FittingTasks(&job.Spec), scheduler.TasksAllowedInZone(job, tasksPerZone, capacity.Zone))
		if count > 0 {
			capacity.Allocate(&job.Spec, count)
			tasksPerZone[capacity.Zone] += count
			left -= count
		}
	}
	return left
}

// isUsable reports whether tasks of a job may be placed on a machine, regardless of its
// free capacity.
func (f *capacityForecast) isUsable(job *pipeline.Job, capacity *scheduler.Capacity, zone pipeline.ZoneIndex) bool {
	if capacity == nil || !capacity.Matches(&job.Spec) {
		return false
	}
	if capacity.Machine != nil && job.AvoidsMachine(capacity.Machine.Index, f.now) {
		return false
	}
	return zone == pipeline.AnyZone || capacity.Zone == zone
}

// tasksWithoutCapacity returns the number of tasks of a job that do not fit into the free
// capacity of a zone. The result is negative if more tasks would fit.
func (f *capacityForecast) tasksWithoutCapacity(job *pipeline.Job, tasks int, zone pipeline.ZoneIndex) int {
	missing := tasks
	for _, capacity := range f.capacities {
		if capacity != nil && capacity.Zone == zone && capacity.Matches(&job.Spec) {
			missing -= capacity.FittingTasks(&job.Spec)
		}
	}
	return missing
}
