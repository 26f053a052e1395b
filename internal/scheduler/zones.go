package scheduler

import (
	"math"

	"lugward/internal/pipeline"
)

const (
	anyZone     = -1 // stands for no restriction to a zone
	unknownZone = -1 // of a machine that is not known
)

// TasksByZone counts, per zone, the tasks of a job that may be on machines there.
func (s *Scheduler) TasksByZone(job *pipeline.Job) map[int]int {
	inZone := map[int]int{}
	job.Assignments(func(entry *pipeline.Assignment) {
		zone := unknownZone
		if machine := s.workers.MachineAt(entry.Machine); machine != nil {
			zone = machine.Zone()
		}
		inZone[zone]++
	})
	return inZone
}

// TasksAllowedInZone is how many more tasks of a job a zone may take: half of a job that
// is to be scattered. A new leader does not know yet where a silent machine stands:
// its tasks count in every zone.
func TasksAllowedInZone(job *pipeline.Job, inZone map[int]int, zone int) int {
	if !job.SpreadZones {
		return math.MaxInt32
	}
	half := (job.TaskCount + 1) / 2
	return half - inZone[zone] - inZone[unknownZone]
}

// currentZone returns the zone where all of a job's tasks are, known only where it
// is a single one whose machines are known.
func currentZone(inZone map[int]int) (zone int, known bool) {
	if len(inZone) != 1 {
		return unknownZone, false
	}
	for only := range inZone {
		zone = only
	}
	return zone, zone != unknownZone
}

// singleZone keeps the candidates of a single zone: the one where tasks of the job
// may still be, else the one that holds most of them. Where the tasks may be in
// several zones or an unknown one the job waits until they are not.
func singleZone(job *pipeline.Job, candidates []*Capacity, inZone map[int]int, wanted int) []*Capacity {
	zone, known := currentZone(inZone)
	if !known {
		if len(inZone) > 0 {
			return nil
		}
		zone = zoneWithMostCapacity(job, candidates, wanted)
	}
	var kept []*Capacity
	for _, capacity := range candidates {
		if capacity.Zone == zone {
			kept = append(kept, capacity)
		}
	}
	return kept
}

// zoneWithMostCapacity is the zone that holds most of the wanted tasks, of equal ones that
// of the most suitable machine.
func zoneWithMostCapacity(job *pipeline.Job, candidates []*Capacity, wanted int) int {
	fits := map[int]int{}
	for _, capacity := range candidates {
		fits[capacity.Zone] += capacity.Fits(&job.Spec)
	}
	best := 0
	zone := unknownZone
	for _, capacity := range candidates {
		if tasks := min(fits[capacity.Zone], wanted); tasks > best {
			best = tasks
			zone = capacity.Zone
		}
	}
	return zone
}

// zonesToTry lists the zones to try for a job: one at a time if its tasks must be
// together, beginning with the one where capacity is reserved for it.
func (s *Scheduler) zonesToTry(job *pipeline.Job, capacities []*Capacity) []int {
	if !job.SameZone || job.TaskCount == 1 {
		return []int{anyZone}
	}
	inZone := s.TasksByZone(job)
	if len(inZone) > 0 {
		// Tasks of it may still be there.
		if zone, known := currentZone(inZone); known {
			return []int{zone}
		}
		return nil
	}
	var zones []int
	seen := map[int]bool{}
	add := func(zone int) {
		if !seen[zone] {
			seen[zone] = true
			zones = append(zones, zone)
		}
	}
	if zone, reserved := reservedZone(job); reserved {
		add(zone)
	}
	for _, capacity := range capacities {
		add(capacity.Zone)
	}
	return zones
}

// reservedZone returns the zone where capacity is reserved for a job.
func reservedZone(job *pipeline.Job) (zone int, reserved bool) {
	return job.ReservedZone - 1, job.ReservedZone != 0
}

// setReservedZone notes the zone where capacity is reserved for a job.
func setReservedZone(job *pipeline.Job, zone int) {
	job.ReservedZone = zone + 1
}
