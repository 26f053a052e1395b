package scheduler

import (
	"cmp"
	"math"
	"slices"

	"lugward/internal/event"
	"lugward/internal/pipeline"
)

// place puts as many tasks of a job as it may on machines.
func (p *Scheduler) place(j *pipeline.Job, capacities []*Capacity, now event.Time) {
	quota := p.Quota(j)
	want := min(j.StartableCount(), quota)
	if j.Shape == pipeline.Gang {
		want = j.StartableCount()
		// A gang runs whole or not at all. Entries left of the current
		// attempt keep their places; of an older one there are none, or it
		// would be breaking.
		if quota < want {
			return
		}
	}
	if want == 0 {
		return
	}
	type scored struct {
		capacity *Capacity
		score    float64
	}
	var list []scored
	for _, r := range capacities {
		if r.Fits(&j.Spec) > 0 && r.Matches(&j.Spec) && !j.Avoids(r.Machine.Index, int64(now)) {
			list = append(list, scored{r, p.score(j, r, now)})
		}
	}
	if len(list) == 0 {
		return
	}
	slices.SortStableFunc(list, func(a, b scored) int { return cmp.Compare(a.score, b.score) })
	candidates := make([]*Capacity, len(list))
	for i, c := range list {
		candidates[i] = c.capacity
	}
	inZone := p.Zones(j)
	if j.SamePlace {
		candidates = p.singleZone(j, candidates, inZone, want)
	}
	type pick struct {
		capacity *Capacity
		n        int
	}
	var picks []pick
	left := want
	for _, r := range candidates {
		n := min(left, r.Fits(&j.Spec), ZoneCapacity(j, inZone, r.Zone))
		if n <= 0 {
			continue
		}
		inZone[r.Zone] += n
		picks = append(picks, pick{r, n})
		if left -= n; left == 0 {
			break
		}
	}
	if j.Shape == pipeline.Gang && left > 0 && j.Active() == 0 {
		return // the rest of one that has begun comes as its places come free
	}
	attempt := p.attempt(j)
	for _, pk := range picks {
		p.placeTasks(j, pk.capacity, pk.n, attempt, now)
	}
}

// attempt is the number that the tasks placed next get: those of a gang share
// theirs. 0: each task counts its own.
func (p *Scheduler) attempt(j *pipeline.Job) uint64 {
	switch {
	case j.Shape != pipeline.Gang:
		return 0
	case j.Active() == 0:
		return j.MaxAttempt() + 1
	default:
		return j.MaxAttempt()
	}
}

// placeTasks places n open tasks of a job on a machine.
func (p *Scheduler) placeTasks(j *pipeline.Job, r *Capacity, n int, attempt uint64, now event.Time) {
	r.Allocate(&j.Spec, n)
	for task := 0; n > 0; task++ {
		if j.Open(task) {
			p.Jobs.Place(j, task, r.Machine.Index, attempt, int64(now))
			n--
		}
	}
}

const unknownZone = -1

// Zones counts, per zone, the tasks of a job that may be on machines there.
func (p *Scheduler) Zones(j *pipeline.Job) map[int]int {
	inZone := map[int]int{}
	j.Entries(func(e *pipeline.Entry) {
		zone := unknownZone
		if h := p.Workers.At(e.Machine); h != nil {
			zone = h.Zone
		}
		inZone[zone]++
	})
	return inZone
}

// ZoneCapacity is how many more tasks of a job a zone may take. A new leader does
// not know yet where a silent machine stands: its tasks count in every zone.
func ZoneCapacity(j *pipeline.Job, inZone map[int]int, zone int) int {
	if !j.Scatter {
		return math.MaxInt32
	}
	return (j.TaskCount+1)/2 - inZone[zone] - inZone[unknownZone]
}

// singleZone keeps the candidates of a single zone: the one that tasks of the
// job may still be in, else the one that holds most of them.
func (p *Scheduler) singleZone(j *pipeline.Job, candidates []*Capacity, inZone map[int]int, want int) []*Capacity {
	zone, best := -1, 0
	if len(inZone) > 1 {
		return nil // an entry on a machine of unknown zone, or worse: wait
	}
	for z := range inZone {
		zone = z
	}
	if zone < 0 {
		if len(inZone) > 0 {
			return nil
		}
		fits := map[int]int{}
		for _, r := range candidates {
			fits[r.Zone] += r.Fits(&j.Spec)
		}
		for _, r := range candidates { // in order of score
			if n := min(fits[r.Zone], want); n > best {
				zone, best = r.Zone, n
			}
		}
	}
	var kept []*Capacity
	for _, r := range candidates {
		if r.Zone == zone {
			kept = append(kept, r)
		}
	}
	return kept
}
