package autoscaler

import (
	"slices"

	"lugward/internal/event"
	"lugward/internal/pipeline"
	"lugward/internal/scheduler"
)

// capacityForecast holds the capacity of the machines as it will be once a machine
// asked for now is up. Tasks are placed on it for planning only.
type capacityForecast struct {
	now             event.Time
	capacities      []*scheduler.Capacity                         // of machines that are up, booting or asked for; nil where the type is not known
	booting         map[pipeline.MachineIndex]*scheduler.Capacity // those of booting machines, by machine
	releasedSeconds float64                                       // capacity of tasks that end within so many seconds is free
}

// add adds the capacity of a machine that is asked for.
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

// releaseWithin frees the capacity of tasks that end within so many seconds.
func (f *capacityForecast) releaseWithin(within float64) {
	if within <= f.releasedSeconds {
		return // an earlier job's machines take as long
	}
	f.releasedSeconds = within
	for _, capacity := range f.capacities {
		if capacity != nil {
			capacity.ReleaseWithin(within)
		}
	}
}

// hasMachineFor reports whether a task of a job fits on one of the machines once it is
// empty.
func (f *capacityForecast) hasMachineFor(job *pipeline.Job) bool {
	return slices.ContainsFunc(f.capacities, func(capacity *scheduler.Capacity) bool {
		return capacity != nil && capacity.Matches(&job.Spec) && capacity.MachineType.CanRun(&job.Spec)
	})
}

// place places tasks of a job in a zone, or in any. It updates the tasks in each zone
// and returns how many tasks are left.
func (f *capacityForecast) place(job *pipeline.Job, tasks int, tasksPerZone scheduler.ZoneCounts, zone pipeline.ZoneIndex) (left int) {
	left = tasks
	for _, capacity := range f.capacities {
		if left == 0 {
			break
		}
		if !f.isUsable(job, capacity, zone) {
			continue
		}
		count := min(left, capacity.Fits(&job.Spec), scheduler.TasksAllowedInZone(job, tasksPerZone, capacity.Zone))
		if count > 0 {
			capacity.Allocate(&job.Spec, count)
			tasksPerZone[capacity.Zone] += count
			left -= count
		}
	}
	return left
}

// isUsable reports whether tasks of a job may be placed on a machine.
func (f *capacityForecast) isUsable(job *pipeline.Job, capacity *scheduler.Capacity, zone pipeline.ZoneIndex) bool {
	if capacity == nil || !capacity.Matches(&job.Spec) {
		return false
	}
	if capacity.Machine != nil && job.AvoidsMachine(capacity.Machine.Index, f.now) {
		return false
	}
	return zone == pipeline.AnyZone || capacity.Zone == zone
}

// missing is how many of a job's tasks find no capacity in a zone; it may be negative.
func (f *capacityForecast) missing(job *pipeline.Job, tasks int, zone pipeline.ZoneIndex) int {
	missing := tasks
	for _, capacity := range f.capacities {
		if capacity != nil && capacity.Zone == zone && capacity.Matches(&job.Spec) {
			missing -= capacity.Fits(&job.Spec)
		}
	}
	return missing
}
