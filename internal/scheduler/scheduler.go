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

// Flavor is a machine type as the cloud describes it.
type MachineType struct {
	Index             int
	Cores, Cards, RAM float64
	Price, LowPrice   float64
	Ready             float64
	Fetch             float64 // GB per s
	Zones             []int
}

// Flavors holds the machine types by index, nil where unknown.
type MachineTypes []*MachineType

// Get returns a type, or nil.
func (f MachineTypes) Get(i int) *MachineType {
	if i < 0 || i >= len(f) {
		return nil
	}
	return f[i]
}

// Allowed tells whether a type can hold a task of the job at all.
func Allowed(s *pipeline.Spec, f *MachineType) bool {
	if f == nil || !s.Allows(f.Index) || s.Cores > f.Cores || s.Cards > f.Cards || s.RAM > f.RAM {
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

// Room is what is left of a machine.
type Capacity struct {
	Host              *worker.Machine // nil: not up yet
	MachineType       *MachineType
	Zone              int
	Spot              bool
	Cores, Cards, RAM float64
	Busy              bool
	Leaving           []*pipeline.Entry // told to stop
	ends              []ending          // soonest first
	sorted            bool              // ends are filled in
	changes           uint32            // of the machine's entries when it was counted
}

const slack = 1e-6 // amounts are decimal numbers

// Fits returns how many tasks of a job fit.
func (r *Capacity) Fits(s *pipeline.Spec) int {
	n := math.MaxInt32
	if s.Cores > 0 {
		n = int((r.Cores + slack) / s.Cores)
	}
	if s.Cards > 0 {
		n = min(n, int((r.Cards+slack)/s.Cards))
	}
	if s.RAM > 0 {
		n = min(n, int((r.RAM+slack)/s.RAM))
	}
	return max(n, 0)
}

// holds tells whether a task would fit if nothing else were there.
func (r *Capacity) holds(s *pipeline.Spec) bool {
	f := r.MachineType
	return s.Cores <= f.Cores+slack && s.Cards <= f.Cards+slack && s.RAM <= f.RAM+slack
}

// Take uses room for n tasks.
func (r *Capacity) Take(s *pipeline.Spec, n int) {
	k := float64(n)
	r.Cores -= k * s.Cores
	r.Cards -= k * s.Cards
	r.RAM -= k * s.RAM
	r.Busy = true
}

// Suits tells whether the machine is of a kind, type and zone that the job
// allows.
func (r *Capacity) Suits(s *pipeline.Spec) bool {
	return r.MachineType != nil && s.Allows(r.MachineType.Index) && (s.Zone < 0 || s.Zone == r.Zone) && (s.Loaners || !r.Spot)
}

const (
	// Where a job that needs cards has not begun for this long, jobs without cards
	// leave the machines with cards alone, since the largest are to begin within
	// four minutes: for so long, in which others can be rented.
	cardsAfter  = 150 * time.Second
	cardsSpared = time.Minute
)

// Suits tells whether the job is to use the machine: cards do not lie idle under
// it while jobs that need them have waited for long.
func (p *Scheduler) Suits(j *pipeline.Job, r *Capacity, now event.Time) bool {
	return r.Suits(&j.Spec) && (!p.cardsWanted || j.Cards > 0 || r.MachineType.Cards == 0 || int64(now)-j.FirstSeen > int64(cardsSpared) || !p.plain(j))
}

// plain tells whether there is a type without cards for the job.
func (p *Scheduler) plain(j *pipeline.Job) bool {
	return slices.ContainsFunc(*p.MachineTypes, func(f *MachineType) bool { return f != nil && f.Cards == 0 && Allowed(&j.Spec, f) })
}

// wantCards finds out whether a job that needs cards has not begun for long.
func (p *Scheduler) wantCards(jobs []*pipeline.Job, now event.Time) {
	p.cardsWanted = slices.ContainsFunc(jobs, func(j *pipeline.Job) bool {
		return j.Cards > 0 && j.Active() == 0 && j.DoneCount() == 0 && int64(now)-j.FirstSeen > int64(cardsAfter) && p.Quota(j) > 0
	})
}

// Placer makes the rounds.
type Scheduler struct {
	Jobs         *pipeline.Table
	Workers      *worker.Registry
	MachineTypes *MachineTypes
	Teams        map[int]config.Team
	Report       event.Time // between two reports of a machine
	Silent       event.Time // a machine not heard for this long gets nothing new

	// CutShort counts the rounds that ran out of their budget, Counted the
	// machines whose room was counted anew.
	CutShort, Counted int
	// Elapsed tells how much of the budget is used; nil: no limit.
	Elapsed func() bool

	counted  []Capacity    // by machine, as its entries left it
	offers   offers        // room for choose, and
	cands    []candidate   // for victims, to work in
	resume   *pipeline.Job // where the last round ran out of time
	held     []holding     // by the jobs before that
	reserved int           // tasks with a reservation in this round
	lowest   pipeline.Rank // of what runs
	// cardsWanted: a job that needs cards has not begun for long.
	cardsWanted bool
	leaving     map[int]pipeline.Usage // by team, of what this round stops
	promised    map[int]pipeline.Usage // by team, of the room that this round keeps for it
}

// room counts what is left of a machine, unless nothing has changed there.
func (p *Scheduler) room(h *worker.Machine, f *MachineType) *Capacity {
	for len(p.counted) <= h.Index {
		p.counted = append(p.counted, Capacity{})
	}
	r, changes := &p.counted[h.Index], p.Jobs.Changes(h.Index)
	if r.MachineType == f && r.Host == h && r.changes == changes {
		return r
	}
	p.Counted++
	*r = Capacity{Host: h, MachineType: f, changes: changes, Cores: f.Cores, Cards: f.Cards, RAM: f.RAM}
	for _, e := range p.Jobs.OnHost(h.Index) {
		r.Take(&e.Job.Spec, 1)
		if e.Evict {
			r.Leaving = append(r.Leaving, e)
		}
	}
	r.Leaving = slices.Clip(r.Leaving) // what a round adds to it is the round's
	return r
}

// Rooms lists what is left of the machines that are up.
func (p *Scheduler) Rooms(now event.Time) []*Capacity {
	all := make([]Capacity, 0, len(p.Workers.Hosts))
	for _, h := range p.Workers.Hosts {
		if h == nil || !h.Up(now, p.Silent) {
			continue
		}
		if f := p.MachineTypes.Get(h.Flavor); f != nil {
			r := *p.room(h, f)
			r.Zone, r.Spot = h.Zone, h.Spot
			all = append(all, r)
		}
	}
	rooms := make([]*Capacity, len(all))
	for i := range all {
		rooms[i] = &all[i]
	}
	return rooms
}

// RoomsAhead lists what is left of the machines that are up once the tasks
// that are told to stop are gone; those are returned. Advance then adds what
// ends later.
func (p *Scheduler) RoomsAhead(now event.Time) (rooms []*Capacity, leaving []*pipeline.Entry) {
	rooms = p.Rooms(now)
	for _, r := range rooms {
		for _, e := range p.Jobs.OnHost(r.Host.Index) {
			switch {
			case e.Evict && e.Job.Final == pipeline.Queued:
				leaving = append(leaving, e)
				r.give(&e.Job.Spec)
			case e.Job.Final != pipeline.Queued || e.Wish != pipeline.Keep:
				r.give(&e.Job.Spec)
			default:
				r.ends = append(r.ends, ending{e, p.Remaining(e, now)})
			}
		}
		sortEnds(r.ends)
	}
	slices.SortFunc(leaving, func(a, b *pipeline.Entry) int {
		return cmp.Or(cmp.Compare(a.Job.Order, b.Job.Order), cmp.Compare(a.Task, b.Task))
	})
	return rooms, leaving
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

// Advance makes room of what ends within so many seconds.
func (r *Capacity) Advance(within float64) {
	for len(r.ends) > 0 && r.ends[0].at <= within {
		r.give(&r.ends[0].e.Job.Spec)
		r.ends = r.ends[1:]
	}
}

// give takes a task's use of the room back.
func (r *Capacity) give(s *pipeline.Spec) {
	r.Cores += s.Cores
	r.Cards += s.Cards
	r.RAM += s.RAM
}

// Round places what it can and returns the jobs that still have tasks open,
// with the rooms as they are left. A round that runs out of its budget goes on
// where it stopped, and then still keeps the room that the jobs before that
// point were promised: else the less important ones behind them would take it.
func (p *Scheduler) Round(now event.Time) (blocked []*pipeline.Job, rooms []*Capacity) {
	rooms = p.Rooms(now)
	all := p.Jobs.Unfinished()
	p.standing(all)
	jobs := slices.DeleteFunc(all, func(j *pipeline.Job) bool { return !j.Waits(int64(now)) })
	order(jobs, now)
	p.wantCards(jobs, now)
	p.leaving, p.promised = map[int]pipeline.Usage{}, map[int]pipeline.Usage{}
	start := slices.IndexFunc(jobs, func(j *pipeline.Job) bool { return j == p.resume })
	if start < 0 {
		start, p.held = 0, p.held[:0]
	}
	if len(p.held) > 0 {
		at := make(map[*worker.Machine]*Capacity, len(rooms))
		for _, r := range rooms {
			at[r.Host] = r
		}
		for _, h := range p.held {
			if r := at[h.host]; r != nil && h.job.OpenCount() > 0 && h.job.Final == pipeline.Queued {
				r.Take(&h.job.Spec, 1)
				p.promise(h.job)
			}
		}
	}
	p.resume = nil
	p.reserved = 0
	for i, j := range jobs[start:] {
		if i > 0 && p.Elapsed != nil && p.Elapsed() {
			p.resume = j
			p.CutShort++
			break
		}
		p.place(j, rooms, now)
		if j.OpenCount() > 0 {
			left := p.preempt(j, rooms, now)
			p.reserve(j, left, rooms, now)
		}
	}
	for _, j := range jobs {
		if j.OpenCount() > 0 {
			blocked = append(blocked, j)
		}
	}
	return blocked, rooms
}

// Reserved is how many tasks got a reservation in the last round.
func (p *Scheduler) Reserved() int { return p.reserved }

// hold gives room that is not free yet to a task that waits for it.
func (p *Scheduler) hold(j *pipeline.Job, r *Capacity, now event.Time) {
	r.Take(&j.Spec, 1)
	p.promise(j)
	r.Host.Wanted = now
	p.held = append(p.held, holding{j, r.Host})
}

// promise notes that a team is to get what a task of the job takes.
func (p *Scheduler) promise(j *pipeline.Job) {
	u := p.promised[j.Team]
	u.Add(&j.Spec, 1)
	p.promised[j.Team] = u
}

type holding struct {
	job  *pipeline.Job
	host *worker.Machine
}

// gangPatience is how long a gang waits in the order of readiness. The largest
// are to begin within four minutes; in a full site the tasks in their places
// need most of that to end, and small work that was ready before keeps coming
// into the places that end first.
const gangPatience = time.Minute

// order puts jobs within their team's guarantee before others of the same
// rank, and gangs that have waited for long before what is left; within equal
// standing the order of readiness stays.
func order(jobs []*pipeline.Job, now event.Time) {
	standing := func(j *pipeline.Job) int {
		switch {
		case j.Within:
			return 2
		case j.Shape == pipeline.Gang && j.N > 1 && int64(now)-j.FirstSeen > int64(gangPatience):
			return 1
		default:
			return 0
		}
	}
	sort.SliceStable(jobs, func(a, b int) bool {
		if jobs[a].EffRank != jobs[b].EffRank {
			return jobs[a].EffRank > jobs[b].EffRank
		}
		if x, y := standing(jobs[a]), standing(jobs[b]); x != y {
			return x > y
		}
		return pressed(jobs[a], now) && !pressed(jobs[b], now)
	})
}

const (
	pressedTimes  = 2.0 // estimates are often wrong by half and more
	pressedMargin = 20 * time.Second
)

// pressed tells whether a job of a chain has little more time left than it and
// its longest path to the deadline are expected to take: it goes before others
// of its standing.
func pressed(j *pipeline.Job, now event.Time) bool {
	if !j.Chained || j.EffDue == pipeline.NoDue {
		return false
	}
	return j.EffDue-int64(now) < int64(pressedMargin)+int64(pressedTimes*j.Expect*1e9)
}

// standing finds the jobs that are within their team's guarantee: those that
// fit there together with the team's unfinished jobs from before. A job must
// use something that is guaranteed; what is not guaranteed does not count.
func (p *Scheduler) standing(all []*pipeline.Job) {
	sum := map[int]pipeline.Usage{}
	p.lowest = pipeline.Production
	for _, j := range all {
		t, u, n := p.Teams[j.Team], sum[j.Team], float64(j.N-j.DoneCount())
		u.Add(&j.Spec, n)
		sum[j.Team] = u
		cores, cards := t.Cores > 0 && j.Cores > 0, t.Cards > 0 && j.Cards > 0
		j.Within = (cores || cards) && (!cores || u.Cores <= t.Cores+slack) && (!cards || u.Cards <= t.Cards+slack)
		if j.Active() > 0 {
			p.lowest = min(p.lowest, j.EffRank)
		}
	}
}

// Quota returns how many more tasks of the job its team's limit allows.
func (p *Scheduler) Quota(j *pipeline.Job) int { return p.QuotaBeside(j, pipeline.Usage{}) }

// QuotaBeside is the quota once the team also has what is promised to other jobs
// of it: else each of many jobs would be promised all that the limit leaves.
func (p *Scheduler) QuotaBeside(j *pipeline.Job, promised pipeline.Usage) int {
	t := p.Teams[j.Team]
	u := p.Jobs.Team(j.Team)
	u.Cores += promised.Cores
	u.Cards += promised.Cards
	n := math.MaxInt32
	if t.CoresMax > 0 && j.Cores > 0 {
		n = min(n, int((t.CoresMax-u.Cores+slack)/j.Cores))
	}
	if t.CardsMax > 0 && j.Cards > 0 {
		n = min(n, int((t.CardsMax-u.Cards+slack)/j.Cards))
	}
	return max(n, 0)
}

// place puts as many tasks of a job as it may on machines.
func (p *Scheduler) place(j *pipeline.Job, rooms []*Capacity, now event.Time) {
	quota := p.Quota(j)
	want := min(j.OpenCount(), quota)
	if j.Shape == pipeline.Gang {
		want = j.OpenCount()
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
		room  *Capacity
		score float64
	}
	var list []scored
	for _, r := range rooms {
		if r.Fits(&j.Spec) > 0 && p.Suits(j, r, now) && !j.BadHosts[r.Host.Index] {
			list = append(list, scored{r, p.score(j, r, now)})
		}
	}
	if len(list) == 0 {
		return
	}
	slices.SortStableFunc(list, func(a, b scored) int { return cmp.Compare(a.score, b.score) })
	cands := make([]*Capacity, len(list))
	for i, c := range list {
		cands[i] = c.room
	}
	inZone := p.Zones(j)
	if j.SamePlace {
		cands = p.onePlace(j, cands, inZone, want)
	}
	type pick struct {
		room *Capacity
		n    int
	}
	var picks []pick
	left := want
	for _, r := range cands {
		n := min(left, r.Fits(&j.Spec), ZoneRoom(j, inZone, r.Zone))
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
	try := p.attempt(j)
	for _, pk := range picks {
		p.put(j, pk.room, pk.n, try, now)
	}
}

// attempt is the number that the tasks placed next get: those of a gang share
// theirs. 0: each task counts its own.
func (p *Scheduler) attempt(j *pipeline.Job) uint64 {
	switch {
	case j.Shape != pipeline.Gang:
		return 0
	case j.Active() == 0:
		return j.MaxTry() + 1
	default:
		return j.MaxTry()
	}
}

// put places n open tasks of a job on a machine.
func (p *Scheduler) put(j *pipeline.Job, r *Capacity, n int, try uint64, now event.Time) {
	r.Take(&j.Spec, n)
	for task := 0; n > 0; task++ {
		if j.Open(task) {
			p.Jobs.Place(j, task, r.Host.Index, try, int64(now))
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
		if h := p.Workers.At(e.Host); h != nil {
			zone = h.Zone
		}
		inZone[zone]++
	})
	return inZone
}

// ZoneRoom is how many more tasks of a job a zone may take. A new leader does
// not know yet where a silent machine stands: its tasks count in every zone.
func ZoneRoom(j *pipeline.Job, inZone map[int]int, zone int) int {
	if !j.Scatter {
		return math.MaxInt32
	}
	return (j.N+1)/2 - inZone[zone] - inZone[unknownZone]
}

// onePlace keeps the candidates of a single zone: the one that tasks of the
// job may still be in, else the one that holds most of them.
func (p *Scheduler) onePlace(j *pipeline.Job, cands []*Capacity, inZone map[int]int, want int) []*Capacity {
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
		for _, r := range cands {
			fits[r.Zone] += r.Fits(&j.Spec)
		}
		for _, r := range cands { // in order of score
			if n := min(fits[r.Zone], want); n > best {
				zone, best = r.Zone, n
			}
		}
	}
	var kept []*Capacity
	for _, r := range cands {
		if r.Zone == zone {
			kept = append(kept, r)
		}
	}
	return kept
}

const (
	fetchWeight = 0.2
	dueWeight   = 0.1
)

// FetchTime is how long a machine fetches a job's image, in seconds.
func (r *Capacity) FetchTime(j *pipeline.Job) float64 {
	if r.Host == nil || r.Host.Images[j.Bundle] || r.MachineType.Fetch <= 0 {
		return 0
	}
	return j.ImageGB / r.MachineType.Fetch
}

// score: less is better.
func (p *Scheduler) score(j *pipeline.Job, r *Capacity, now event.Time) float64 {
	s := 0.0
	if j.Cards == 0 && r.MachineType.Cards > 0 {
		s += 100 // cards would lie idle
	}
	s += fetchWeight * r.FetchTime(j)
	// The start travels in the answer to the machine's next report.
	s += dueWeight * max(0, (p.Report-(now-r.Host.Heard)).Seconds())
	if !r.Busy {
		s += 2
	}
	// Best fit: the least left over.
	s += (r.Cores-j.Cores)/r.MachineType.Cores + r.Cards/math.Max(r.MachineType.Cards, 1)
	return s
}
