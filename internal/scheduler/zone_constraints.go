package scheduler

import (
	"math"
	"slices"

	"lugward/internal/pipeline"
)

// unknownZone is the zone of a machine that is not known.
const unknownZone pipeline.ZoneIndex = -1

// ZoneCounts counts tasks of a job by zone. Tasks on machines that are not known
// count under a negative zone.
type ZoneCounts map[pipeline.ZoneIndex]int

// TasksByZone counts, per zone, the tasks of a job that may be on machines there.
func (s *Scheduler) TasksByZone(job *pipeline.Job) ZoneCounts {
	counts := ZoneCounts{}
	s.countTasks(job, counts)
	return counts
}

// countTasks adds the tasks of a job to counts. It is a function of its own so that the
// compiler can inline TasksByZone and keep the map on the stack.
func (s *Scheduler) countTasks(job *pipeline.Job, counts ZoneCounts) {
	for task := range job.Assignments() {
		zone := unknownZone
		if machine := s.workers.MachineAt(task.Machine); machine != nil {
			zone = machine.Zone()
		}
		counts[zone]++
	}
}

// singleZone returns the zone where all of the tasks are, known only where it is a
// single one whose machines are known.
func (z ZoneCounts) singleZone() (zone pipeline.ZoneIndex, known bool) {
	if len(z) != 1 {
		return unknownZone, false
	}
	for only := range z {
		zone = only
	}
	return zone, zone != unknownZone
}

// TasksAllowedInZone is how many more tasks of a job its spread constraint allows in a
// zone: half of the job. A new leader does not know yet where a machine is that has
// not sent a heartbeat: its tasks count in every zone.
func TasksAllowedInZone(job *pipeline.Job, placed ZoneCounts, zone pipeline.ZoneIndex) int {
	if !job.SpreadZones {
		return math.MaxInt32
	}
	half := (job.TaskCount + 1) / 2
	return half - placed[zone] - placed[unknownZone]
}

// inSingleZone keeps the machines of a single zone, as the affinity constraint asks
// for: the zone where tasks of the job may still be, else the one that holds most of
// them. Where the tasks may be in several zones or an unknown one the job waits until
// they are not.
func inSingleZone(job *pipeline.Job, machines []*Capacity, placed ZoneCounts, wanted int) []*Capacity {
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

// zoneWithMostCapacity is the zone that holds most of the wanted tasks, of equal ones
// that of the most suitable machine.
func zoneWithMostCapacity(job *pipeline.Job, machines []*Capacity, wanted int) pipeline.ZoneIndex {
	fits := map[pipeline.ZoneIndex]int{}
	for _, capacity := range machines {
		fits[capacity.Zone] += capacity.Fits(&job.Spec)
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

// zonesToSearch lists the zones to search for slots for a job: any zone at once, or
// one at a time if the affinity constraint binds its tasks together, beginning with
// the zone that is chosen for its reservations.
func (r *round) zonesToSearch(job *pipeline.Job) []pipeline.ZoneSelector {
	if !job.SameZone || job.TaskCount == 1 {
		return []pipeline.ZoneSelector{{}}
	}
	placed := r.TasksByZone(job)
	if len(placed) > 0 {
		if zone, known := placed.singleZone(); known {
			return []pipeline.ZoneSelector{pipeline.OnlyZone(zone)}
		}
		return nil // until it is known where they are
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
