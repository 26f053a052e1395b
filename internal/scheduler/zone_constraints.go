package scheduler

import (
	"math"
	"slices"

	"lugward/internal/pipeline"
)

// unknownZone is the zone of an unknown machine.
const unknownZone pipeline.ZoneIndex = -1

// ZoneCounts is the number of tasks of a job by zone. Tasks on unknown machines are
// counted under a negative zone.
type ZoneCounts map[pipeline.ZoneIndex]int

// TasksByZone returns the number of active tasks of a job, those that may be on a
// machine, by zone. The result is empty for a job whose tasks may be in any zones, since it
// is not needed then.
func (s *Scheduler) TasksByZone(job *pipeline.Job) ZoneCounts {
	counts := ZoneCounts{}
	s.countTasks(job, counts)
	return counts
}

// countTasks adds the active tasks of a job to counts. It is a separate function so that
// the compiler can inline TasksByZone and keep the map on the stack.
func (s *Scheduler) countTasks(job *pipeline.Job, counts ZoneCounts) {
	for index, tasks := range job.TasksByMachine() {
		zone := unknownZone
		if machine := s.workers.MachineAt(index); machine != nil {
			zone = machine.Zone()
		}
		counts[zone] += tasks
	}
}

// singleZone returns the zone that contains all counted tasks. known is false if there
// are no tasks, if they are in several zones or if their zone is unknown.
func (z ZoneCounts) singleZone() (zone pipeline.ZoneIndex, known bool) {
	if len(z) != 1 {
		return unknownZone, false
	}
	for only := range z {
		zone = only
	}
	return zone, zone != unknownZone
}

// TasksAllowedInZone returns how many more tasks of a job its spread constraint allows
// in a zone. A zone may hold half of the job's tasks, rounded up. A new leader does not
// know the zone of a machine until that sends a heartbeat, so tasks in the unknown zone
// count against every zone.
func TasksAllowedInZone(job *pipeline.Job, placed ZoneCounts, zone pipeline.ZoneIndex) int {
	if !job.SpreadZones {
		return math.MaxInt32
	}
	half := (job.TaskCount + 1) / 2
	return half - placed[zone] - placed[unknownZone]
}

// limitToSingleZone returns the machines of one zone, as the job's zone affinity
// constraint requires: the zone of its active tasks, or else the zone that fits the most
// of the wanted tasks. It returns none while active tasks are in several zones or in an
// unknown one, so the job gets no further tasks until that has changed.
func limitToSingleZone(job *pipeline.Job, machines []*Capacity, placed ZoneCounts, wanted int) []*Capacity {
	zone, known := placed.singleZone()
	if !known {
		if len(placed) > 0 {
			return nil
		}
		zone = zoneWithMostCapacity(job, machines, wanted)
	}
	var kept []*Capacity
	for _, capacity := range machines {
		if capacity.Zone == zone {
			kept = append(kept, capacity)
		}
	}
	return kept
}

// zoneWithMostCapacity returns the zone that fits the most of the wanted tasks. Ties go
// to the zone of the machine that ranks first in machines.
func zoneWithMostCapacity(job *pipeline.Job, machines []*Capacity, wanted int) pipeline.ZoneIndex {
	fits := map[pipeline.ZoneIndex]int{}
	for _, capacity := range machines {
		fits[capacity.Zone] += capacity.FittingTasks(&job.Spec)
	}
	best := 0
	zone := unknownZone
	for _, capacity := range machines {
		if tasks := min(fits[capacity.Zone], wanted); tasks > best {
			best = tasks
			zone = capacity.Zone
		}
	}
	return zone
}

// zonesToSearch lists the zones to search for slots for a job. For a job of one task or
// without a zone affinity constraint it is a single selector of any zone. Otherwise it is
// the zone of the job's active tasks or, if there are none, every zone in turn,
// beginning with the zone chosen for the job's reservations.
func (r *round) zonesToSearch(job *pipeline.Job) []pipeline.ZoneSelector {
	if !job.SameZone || job.TaskCount == 1 {
		return []pipeline.ZoneSelector{{}}
	}
	placed := r.TasksByZone(job)
	if len(placed) > 0 {
		if zone, known := placed.singleZone(); known {
			return []pipeline.ZoneSelector{pipeline.OnlyZone(zone)}
		}
		return nil // the active tasks are in several zones or in an unknown one
	}
	var zones []pipeline.ZoneSelector
	if job.ReservedZone().IsSingle() {
		zones = append(zones, job.ReservedZone())
	}
	for _, capacity := range r.capacities {
		zone := pipeline.OnlyZone(capacity.Zone)
		if !slices.Contains(zones, zone) {
			zones = append(zones, zone)
		}
	}
	return zones
}
