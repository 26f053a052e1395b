// Package scheduler decides which task goes to which machine. A round has a
// budget of time; what it could not look at, the next one starts with.
package scheduler

import (
	"cmp"
	"math"
	"slices"
	"sort"
	"time"

	"lugward/internal/config"
	"lugward/internal/event"
	"lugward/internal/pipeline"
	"lugward/internal/worker"
)

// MachineType is a machine type as the cloud describes it.
type MachineType struct {
	Index              int
	CPUs, GPUs, Memory float64
	Price, SpotPrice   float64
	BootTime           float64
	FetchRate          float64 // GB per s
	Zones              []int
}

// MachineTypes holds the machine types by index, nil where unknown.
type MachineTypes []*MachineType

// Get returns a type, or nil.
func (f MachineTypes) Get(i int) *MachineType {
	if i < 0 || i >= len(f) {
		return nil
	}
	return f[i]
}

// Allows tells whether a type can hold a task of the job at all.
func Allows(s *pipeline.Spec, f *MachineType) bool {
	if f == nil || !s.Allows(f.Index) || s.CPUs > f.CPUs || s.GPUs > f.GPUs || s.Memory > f.Memory {
		return false
	}
	if s.Zone < 0 {
		return true
	}
	for _, z := range f.Zones {
		if z == s.Zone {
			return true
		}
	}
	return false
}

// Capacity is what is left of a machine.
type Capacity struct {
	Machine            *worker.Machine // nil: not up yet
	MachineType        *MachineType
	Zone               int
	Spot               bool
	CPUs, GPUs, Memory float64
	Busy               bool
	Preempting         []*pipeline.Entry // told to stop
	endings            []ending          // soonest first
	sorted             bool              // ends are filled in
	changes            uint32            // of the machine's entries when it was counted
}

const tolerance = 1e-6 // amounts are decimal numbers

// Fits returns how many tasks of a job fit.
func (r *Capacity) Fits(s *pipeline.Spec) int {
	n := math.MaxInt32
	if s.CPUs > 0 {
		n = int((r.CPUs + tolerance) / s.CPUs)
	}
	if s.GPUs > 0 {
		n = min(n, int((r.GPUs+tolerance)/s.GPUs))
	}
	if s.Memory > 0 {
		n = min(n, int((r.Memory+tolerance)/s.Memory))
	}
	return max(n, 0)
}

// fitsEmpty tells whether a task would fit if nothing else were there.
func (r *Capacity) fitsEmpty(s *pipeline.Spec) bool {
	f := r.MachineType
	return s.CPUs <= f.CPUs+tolerance && s.GPUs <= f.GPUs+tolerance && s.Memory <= f.Memory+tolerance
}

// Allocate uses capacity for n tasks.
func (r *Capacity) Allocate(s *pipeline.Spec, n int) {
	k := float64(n)
	r.CPUs -= k * s.CPUs
	r.GPUs -= k * s.GPUs
	r.Memory -= k * s.Memory
	r.Busy = true
}

// Matches tells whether the machine is of a kind, type and zone that the job
// allows.
func (r *Capacity) Matches(s *pipeline.Spec) bool {
	return r.MachineType != nil && s.Allows(r.MachineType.Index) && (s.Zone < 0 || s.Zone == r.Zone) && (s.AllowSpot || !r.Spot)
}

// Scheduler makes the rounds.
type Scheduler struct {
	Jobs           *pipeline.Table
	Workers        *worker.Registry
	MachineTypes   *MachineTypes
	Teams          map[int]config.Team
	ReportInterval event.Time // between two reports of a machine
	SilentAfter    event.Time // a machine not heard for this long gets nothing new

	// Interrupted counts the rounds that ran out of their budget, Counted the
	// machines whose capacity was counted anew.
	Interrupted, Recounted int
	// OverBudget tells how much of the budget is used; nil: no limit.
	OverBudget func() bool

	cached         []Capacity             // by machine, as its entries left it
	offers         offers                 // capacity for choose, and
	candidates     []candidate            // for victims, to work in
	resume         *pipeline.Job          // where the last round ran out of time
	reservations   []reservation          // by the jobs before that
	reserved       int                    // tasks with a reservation in this round
	lowestPriority pipeline.Priority      // of what runs
	preempting     map[int]pipeline.Usage // by team, of what this round stops
	committed      map[int]pipeline.Usage // by team, of the capacity that this round keeps for it
}

// capacity counts what is left of a machine, unless nothing has changed there.
func (p *Scheduler) capacity(h *worker.Machine, f *MachineType) *Capacity {
	for len(p.cached) <= h.Index {
		p.cached = append(p.cached, Capacity{})
	}
	r, changes := &p.cached[h.Index], p.Jobs.Changes(h.Index)
	if r.MachineType == f && r.Machine == h && r.changes == changes {
		return r
	}
	p.Recounted++
	*r = Capacity{Machine: h, MachineType: f, changes: changes, CPUs: f.CPUs, GPUs: f.GPUs, Memory: f.Memory}
	for _, e := range p.Jobs.OnMachine(h.Index) {
		if e.Phase == pipeline.Exited {
			continue // its machine has said so; only the record of it is to follow
		}
		r.Allocate(&e.Job.Spec, 1)
		if e.Evict {
			r.Preempting = append(r.Preempting, e)
		}
	}
	r.Preempting = slices.Clip(r.Preempting) // what a round adds to it is the round's
	return r
}

// Capacities capacities lists what is left of the machines that are up.
func (p *Scheduler) Capacities(now event.Time) []*Capacity {
	all := make([]Capacity, 0, len(p.Workers.Machines))
	for _, h := range p.Workers.Machines {
		if h == nil || !h.Up(now, p.SilentAfter) {
			continue
		}
		if f := p.MachineTypes.Get(h.MachineType); f != nil {
			r := *p.capacity(h, f)
			r.Zone, r.Spot = h.Zone, h.Spot
			all = append(all, r)
		}
	}
	capacities := make([]*Capacity, len(all))
	for i := range all {
		capacities[i] = &all[i]
	}
	return capacities
}

// FutureCapacities lists what is left of the machines that are up once the tasks
// that are told to stop have terminated; those are returned. Advance then adds what
// ends later.
func (p *Scheduler) FutureCapacities(now event.Time) (capacities []*Capacity, preempting []*pipeline.Entry) {
	capacities = p.Capacities(now)
	for _, r := range capacities {
		for _, e := range p.Jobs.OnMachine(r.Machine.Index) {
			exited := e.Phase == pipeline.Exited // it takes nothing any more
			if e.Evict && e.Job.Final == pipeline.Queued {
				preempting = append(preempting, e)
			}
			switch {
			case exited:
			case e.Evict && e.Job.Final == pipeline.Queued:
				r.release(&e.Job.Spec)
			case e.Job.Final != pipeline.Queued || e.Pending != pipeline.NoPendingWrite:
				r.release(&e.Job.Spec)
			default:
				r.endings = append(r.endings, ending{e, p.Remaining(e, now)})
			}
		}
		sortEnds(r.endings)
	}
	slices.SortFunc(preempting, func(a, b *pipeline.Entry) int {
		return cmp.Or(cmp.Compare(a.Job.Order, b.Job.Order), cmp.Compare(a.Task, b.Task))
	})
	return capacities, preempting
}

// ending is a task with the seconds it is expected to run on.
type ending struct {
	e  *pipeline.Entry
	at float64
}

func sortEnds(ends []ending) {
	slices.SortFunc(ends, func(a, b ending) int {
		return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.e.Job.Order, b.e.Job.Order), cmp.Compare(a.e.Task, b.e.Task))
	})
}

// ReleaseEnding frees capacity of what ends within so many seconds.
func (r *Capacity) ReleaseEnding(within float64) {
	for len(r.endings) > 0 && r.endings[0].at <= within {
		r.release(&r.endings[0].e.Job.Spec)
		r.endings = r.endings[1:]
	}
}

// release takes a task's use of the capacity back.
func (r *Capacity) release(s *pipeline.Spec) {
	r.CPUs += s.CPUs
	r.GPUs += s.GPUs
	r.Memory += s.Memory
}

// Round places what it can and returns the jobs that still have tasks open,
// with the machine capacities as they are left. A round that runs out of its budget goes on
// where it stopped, and then still keeps the capacity that the jobs before that
// point were promised: else the less important ones behind them would take it.
func (p *Scheduler) Round(now event.Time) (blocked []*pipeline.Job, capacities []*Capacity) {
	capacities = p.Capacities(now)
	all := p.Jobs.Unfinished()
	p.updateGuarantees(all)
	jobs := slices.DeleteFunc(all, func(j *pipeline.Job) bool { return !j.Waits(int64(now)) })
	order(jobs, now)
	p.preempting, p.committed = map[int]pipeline.Usage{}, map[int]pipeline.Usage{}
	start := slices.IndexFunc(jobs, func(j *pipeline.Job) bool { return j == p.resume })
	if start < 0 {
		start, p.reservations = 0, p.reservations[:0]
	}
	if len(p.reservations) > 0 {
		at := make(map[*worker.Machine]*Capacity, len(capacities))
		for _, r := range capacities {
			at[r.Machine] = r
		}
		for _, h := range p.reservations {
			if r := at[h.machine]; r != nil && h.job.StartableCount() > 0 && h.job.Final == pipeline.Queued {
				r.Allocate(&h.job.Spec, 1)
				p.commitQuota(h.job)
			}
		}
	}
	p.resume = nil
	p.reserved = 0
	for i, j := range jobs[start:] {
		if i > 0 && p.OverBudget != nil && p.OverBudget() {
			p.resume = j
			p.Interrupted++
			break
		}
		p.place(j, capacities, now)
		if j.StartableCount() > 0 {
			left := p.preempt(j, capacities, now)
			p.reserve(j, left, capacities, now)
		}
	}
	for _, j := range jobs {
		if j.StartableCount() > 0 {
			blocked = append(blocked, j)
		}
	}
	return blocked, capacities
}

// Reserved is how many tasks got a reservation in the last round.
func (p *Scheduler) Reserved() int { return p.reserved }

// reserveTask gives capacity that is not free yet to a task that waits for it.
func (p *Scheduler) reserveTask(j *pipeline.Job, r *Capacity, now event.Time) {
	r.Allocate(&j.Spec, 1)
	p.commitQuota(j)
	r.Machine.ReservedAt = now
	p.reservations = append(p.reservations, reservation{j, r.Machine})
}

// commitQuota notes that a team is to get what a task of the job takes.
func (p *Scheduler) commitQuota(j *pipeline.Job) {
	u := p.committed[j.Team]
	u.Add(&j.Spec, 1)
	p.committed[j.Team] = u
}

type reservation struct {
	job     *pipeline.Job
	machine *worker.Machine
}

// maxStartDelay is how long a job waits to begin in the order of readiness. The
// largest are to begin within four minutes; in a full site the tasks in their
// places need most of that to end, and work that was ready before keeps coming
// into the places that end first: small jobs, and tasks that were stopped.
const maxStartDelay = time.Minute

// precedence orders jobs of the same priority, the greatest first.
type precedence int

const (
	byReadiness precedence = iota
	startOverdue
	gangOverdue
	withinGuarantee
)

// precedenceOf returns the precedence of a job. A gang is overdue as long as any
// of its tasks waits, any other job until its first task is placed; a job that is
// at fault is not, as it never begins.
func precedenceOf(j *pipeline.Job, now event.Time) precedence {
	overdue := int64(now)-j.ReadySince > int64(maxStartDelay) && !j.AtFault()
	switch {
	case j.WithinGuarantee:
		return withinGuarantee
	case overdue && j.Shape == pipeline.Gang && j.TaskCount > 1:
		return gangOverdue
	case overdue && j.Active() == 0 && j.DoneCount() == 0:
		return startOverdue
	default:
		return byReadiness
	}
}

// order puts jobs within their team's guarantee before others of the same priority,
// then gangs and then other jobs that have waited to begin for long; within equal
// precedence the order of readiness stays.
func order(jobs []*pipeline.Job, now event.Time) {
	sort.SliceStable(jobs, func(a, b int) bool {
		if jobs[a].EffectivePriority != jobs[b].EffectivePriority {
			return jobs[a].EffectivePriority > jobs[b].EffectivePriority
		}
		if x, y := precedenceOf(jobs[a], now), precedenceOf(jobs[b], now); x != y {
			return x > y
		}
		return deadlineAtRisk(jobs[a], now) && !deadlineAtRisk(jobs[b], now)
	})
}

const (
	riskFactor = 2.0 // estimates are often wrong by half and more
	riskMargin = 20 * time.Second
)

// deadlineAtRisk tells whether a job of a chain has little more time left than it and
// its longest path to the deadline are expected to take: it goes before others
// of its standing.
func deadlineAtRisk(j *pipeline.Job, now event.Time) bool {
	if !j.Chained || j.EffectiveDeadline == pipeline.NoDeadline {
		return false
	}
	return j.EffectiveDeadline-int64(now) < int64(riskMargin)+int64(riskFactor*j.EstimatedRuntime*1e9)
}

// updateGuarantees finds the jobs that are within their team's guarantee: those that
// fit there together with the team's unfinished jobs from before. A job must
// use something that is guaranteed; what is not guaranteed does not count.
func (p *Scheduler) updateGuarantees(all []*pipeline.Job) {
	sum := map[int]pipeline.Usage{}
	p.lowestPriority = pipeline.Production
	for _, j := range all {
		t, u, n := p.Teams[j.Team], sum[j.Team], float64(j.TaskCount-j.DoneCount())
		u.Add(&j.Spec, n)
		sum[j.Team] = u
		cpus, gpus := t.CPUs > 0 && j.CPUs > 0, t.GPUs > 0 && j.GPUs > 0
		j.WithinGuarantee = (cpus || gpus) && (!cpus || u.CPUs <= t.CPUs+tolerance) && (!gpus || u.GPUs <= t.GPUs+tolerance)
		if j.Active() > 0 {
			p.lowestPriority = min(p.lowestPriority, j.EffectivePriority)
		}
	}
}

// Quota returns how many more tasks of the job its team's limit allows.
func (p *Scheduler) Quota(j *pipeline.Job) int { return p.QuotaBeside(j, pipeline.Usage{}) }

// QuotaBeside is the quota once the team also has what is promised to other jobs
// of it: else each of many jobs would be promised all that the limit leaves.
func (p *Scheduler) QuotaBeside(j *pipeline.Job, committed pipeline.Usage) int {
	t := p.Teams[j.Team]
	u := p.Jobs.Team(j.Team)
	u.CPUs += committed.CPUs
	u.GPUs += committed.GPUs
	n := math.MaxInt32
	if t.CPUsMax > 0 && j.CPUs > 0 {
		n = min(n, int((t.CPUsMax-u.CPUs+tolerance)/j.CPUs))
	}
	if t.GPUsMax > 0 && j.GPUs > 0 {
		n = min(n, int((t.GPUsMax-u.GPUs+tolerance)/j.GPUs))
	}
	return max(n, 0)
}

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

const (
	fetchWeight      = 0.2
	reportWaitWeight = 0.1
)

// FetchTime is how long a machine fetches a job's image, in seconds.
func (r *Capacity) FetchTime(j *pipeline.Job) float64 {
	if r.Machine == nil || r.Machine.Images[j.Image] || r.MachineType.FetchRate <= 0 {
		return 0
	}
	return j.ImageGB / r.MachineType.FetchRate
}

// score: less is better.
func (p *Scheduler) score(j *pipeline.Job, r *Capacity, now event.Time) float64 {
	s := 0.0
	if j.GPUs == 0 && r.MachineType.GPUs > 0 {
		s += 100 // GPUs would lie idle
	}
	s += fetchWeight * r.FetchTime(j)
	// The start travels in the answer to the machine's next report.
	s += reportWaitWeight * max(0, (p.ReportInterval-(now-r.Machine.LastReport)).Seconds())
	if !r.Busy {
		s += 2
	}
	// Best fit: the least left over.
	s += (r.CPUs-j.CPUs)/r.MachineType.CPUs + r.GPUs/math.Max(r.MachineType.GPUs, 1)
	return s
}
