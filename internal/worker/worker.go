// Package worker knows the machines: what their workers report, which orders
// they are to get, and when the tasks on a silent machine are surely gone.
package worker

import (
	"encoding/json"
	"log/slog"
	"maps"
	"slices"
	"sort"
	"strconv"
	"strings"
	"time"

	"lugward/internal/event"
	"lugward/internal/pipeline"
)

// Term is what the fleet asks of the leadership.
type Term interface {
	Fence() uint64
	Entitled(now event.Time) bool
	SawFence(f uint64)
	SilentProof(lastAnswer event.Time) event.Time
	Lease() time.Duration
}

// Host is a machine.
type Machine struct {
	Index  int
	Name   string
	Addr   string
	Flavor int
	Zone   int
	Spot   bool

	Known  bool // flavor and zone are known
	Fenced bool // a report of it carried our fence: our answers reach it
	// Deaf is since when our answers seem not to reach it, 0: they do. Its
	// reports may go on arriving all the while.
	Deaf       event.Time
	deafTenure uint64
	unfenced   int // reports without our fence since we first answered one
	Tenure     uint64
	Tick       uint64
	Heard      event.Time // of the last report, 0: none in this term
	Answered   event.Time
	Back       event.Time // when it was last heard again after it had been silent
	RecallAt   event.Time // 0: no notice

	Stray   int // tasks on it that no entry explains
	Images  map[int]bool
	Refused event.Time // full or in_use: not to be used before
	// Jobs by name: an index serves another job once one is forgotten.
	Errors     map[string]bool
	Slow       map[string]bool // jobs in a row that ran far longer here than their class does
	Retiring   bool            // logged as retired: no task may be placed
	Draining   bool            // its tasks were told to move: to be returned when empty
	firstHeard event.Time
	IdleFrom   event.Time
	Wanted     event.Time // when room on it was last kept for a job that waits
	direct     event.Time
	shown      event.Time
}

// Fleet is the table of machines.
type Registry struct {
	Names  *pipeline.Names
	Jobs   *pipeline.Table
	Hosts  []*Machine // by index, nil if gone
	log    *slog.Logger
	calls  map[uint64]*Machine // direct commands in flight, nil: nothing is to be learnt
	toStop map[int]bool        // machines on which a task is to be stopped
	lookAt event.Time
	ratio  map[int]float64 // run time against estimate, per class

	// Silent is how long a machine may be quiet before that tells something.
	Silent event.Time
}

// New returns an empty fleet.
func New(n *pipeline.Names, t *pipeline.Table, log *slog.Logger) *Registry {
	return &Registry{Names: n, Jobs: t, log: log, calls: map[uint64]*Machine{}, toStop: map[int]bool{}, ratio: map[int]float64{}}
}

// Host returns a machine by name, adding it when new.
func (f *Registry) Machine(name string, now event.Time) *Machine {
	i := f.Names.Hosts.Index(name)
	for len(f.Hosts) <= i {
		f.Hosts = append(f.Hosts, nil)
	}
	if f.Hosts[i] == nil {
		f.Hosts[i] = &Machine{Index: i, Name: name, Flavor: -1, Zone: -1, Images: map[int]bool{}, IdleFrom: now}
	}
	return f.Hosts[i]
}

// At returns a machine by index, or nil.
func (f *Registry) At(i int) *Machine {
	if i < 0 || i >= len(f.Hosts) {
		return nil
	}
	return f.Hosts[i]
}

// Forget drops what only a leader knows.
func (f *Registry) Forget() {
	f.Hosts = nil
	clear(f.toStop)
}

// Up tells whether a machine can take tasks now.
func (h *Machine) Up(now event.Time, silent time.Duration) bool {
	return h.Known && h.Fenced && h.Deaf == 0 && h.Heard > 0 && now-h.Heard < silent && !h.Retiring && !h.Draining && h.RecallAt == 0 && h.Stray == 0 && now >= h.Refused && len(h.Errors) < faultyJobs && len(h.Slow) < slowJobs
}

const (
	// A machine on which this many jobs in a row took slowTimes what their class
	// takes, by their owners' estimates, gets nothing more. One job says little:
	// estimates are often wrong by half.
	slowJobs     = 3
	slowTimes    = 1.8
	ratioWeight  = 0.1 // of a new completion in a class's ratio of run time to estimate
	faultyJobs   = 2   // so many different jobs failing on a machine make it faulty
	refusedPause = 4 * time.Second
	// A start that so many reports in a row do not show did not arrive.
	deafMisses  = 3
	deafMargin  = 3 * time.Second
	directEvery = time.Second
	showEvery   = 10 * time.Second
	lookEvery   = 250 * time.Millisecond // between two looks at all machines in use
	directWait  = 3 * time.Second
	// A job that failed on this many machines is taken to be at fault itself.
	faultyHosts = 3
	parkBase    = 10 * time.Second
	parkMost    = 5 * time.Minute
)

// ParseShard splits a task's name into its job and number.
func ParseShard(s string) (job string, task int, ok bool) {
	i := strings.LastIndexByte(s, '/')
	if i < 0 {
		return "", 0, false
	}
	n, err := strconv.Atoi(s[i+1:])
	return s[:i], n, err == nil && n >= 0
}

// shardName is a task's name.
func shardName(e *pipeline.Entry) string { return e.Job.ID + "/" + strconv.Itoa(e.Task) }

var phases = map[string]pipeline.TaskPhase{"pulling": pipeline.Pulling, "waiting": pipeline.Waiting,
	"running": pipeline.RunningTask, "saving": pipeline.Saving, "exited": pipeline.Exited}

// Take takes a report in. ok is false for a report that is older than one we
// have seen.
func (f *Registry) Take(r *Report, now event.Time, term Term) (ok bool) {
	h := f.Machine(r.Machine, now)
	if r.Tenure < h.Tenure || (r.Tenure == h.Tenure && r.Tick <= h.Tick) {
		// Held back by the network, or a copy: its task list is as old as it
		// is, and whoever sent it waits for no answer.
		return false
	}
	if r.Tenure == h.Tenure && h.Answered > 0 && now >= term.SilentProof(max(h.Answered, h.Heard)) {
		// Its session has ended since we answered it last: this was held back
		// since before, by a machine that may be gone.
		return false
	}
	term.SawFence(r.Fence)
	f.note(h, r, now)
	for _, s := range r.Shards {
		if j, e, task := f.find(h, s); e != nil {
			f.progress(h, e, s, now)
		} else if s.Phase == "exited" && s.Cause == "done" && j != nil && j.Final == pipeline.Queued && !j.IsDone(task) {
			// The result counts, whichever attempt it came from; it is
			// reaped once it is stored.
			f.Jobs.MarkDone(j, task)
		}
	}
	// The list came before the question whether the machine hears us: what it
	// shows is there, whatever a copy that we took before did not show.
	f.hears(h, r, now, term)
	return true
}

// hears finds out whether our answers reach a machine: being heard from is not
// being reachable. A machine is used once a report carries our fence, which is
// also what tells a report of this term from a copy of an older one; and no
// more once it does not take up what it was told.
func (f *Registry) hears(h *Machine, r *Report, now event.Time, term Term) {
	if !h.Fenced {
		switch {
		case r.Fence == term.Fence():
			h.Fenced, h.Deaf = true, 0
			f.Jobs.Changed = true
		case h.Deaf != 0 || h.Answered == 0:
		case h.unfenced < deafMisses:
			// What we answered first may have been a copy; the machine itself,
			// which stayed with the leader before us, answers for itself.
			h.unfenced++
		case now-h.firstHeard > f.Silent:
			f.deaf(h, now)
		}
		return
	}
	if h.Deaf != 0 {
		// A session that outlives the lease has heard us.
		if h.Tenure == h.deafTenure && now-h.Deaf > term.Lease()+deafMargin {
			f.log.Info("machine hears us again", "host", h.Name)
			h.Deaf = 0
			f.Jobs.Changed = true
		} else {
			f.moveUnseen(h)
		}
		return
	}
	for _, e := range f.Jobs.OnHost(h.Index) {
		if e.Ordered == 0 || e.Ordered >= r.Tick || e.Seen != pipeline.Unseen {
			continue
		}
		name := shardName(e)
		if slices.ContainsFunc(r.Shards, func(s Shard) bool { return s.Shard == name }) {
			e.Missed = 0
		} else if e.Missed++; e.Missed >= deafMisses {
			f.deaf(h, now)
			return
		}
	}
}

// deaf gives up on a machine that does not hear us: what it never took up is
// moved, once a report proves that it will not start. What runs goes on: it may
// complete before its lease ends, and we may be wrong.
func (f *Registry) deaf(h *Machine, now event.Time) {
	f.log.Info("machine does not hear us", "host", h.Name, "tasks", len(f.Jobs.OnHost(h.Index)))
	h.Deaf, h.deafTenure = now, h.Tenure
	f.moveUnseen(h)
}

func (f *Registry) moveUnseen(h *Machine) {
	for _, e := range f.sorted(h) {
		if e.Seen == pipeline.Unseen {
			f.Evict(e, e.Job.SnapCost+1)
		}
	}
}

// LastingDeaf tells whether a machine has not heard us for so long that its
// tasks have ended with its lease.
func (f *Registry) LastingDeaf(h *Machine, now event.Time, term Term) bool {
	return h.Deaf != 0 && now-h.Deaf > term.Lease()+2*deafMargin
}

// find returns the job and the entry that a reported task belongs to, nil
// where there is none.
func (f *Registry) find(h *Machine, s Shard) (j *pipeline.Job, e *pipeline.Entry, task int) {
	id, task, good := ParseShard(s.Shard)
	if !good {
		return nil, nil, 0
	}
	if j = f.Jobs.Job(id); j == nil || task >= j.N {
		return nil, nil, task
	}
	if e = j.Entry(task); e != nil && (e.Host != h.Index || e.Try != s.Try) {
		e = nil
	}
	return j, e, task
}

// Settled tells whether nothing that concerns the machine is being stored:
// an answer given now would not be followed by another in a moment.
func (f *Registry) Settled(host int) bool {
	for _, e := range f.Jobs.OnHost(host) {
		if !e.Durable || e.Wish != pipeline.Keep {
			return false
		}
	}
	return true
}

// Idle tells whether a usable machine reports no task and has none to start yet.
func (f *Registry) Idle(r *Report) bool {
	i, ok := f.Names.Hosts.Lookup(r.Machine)
	if !ok || len(r.Shards) > 0 {
		return false
	}
	h := f.At(i)
	if h == nil || !h.Fenced || h.Deaf != 0 || h.Retiring || h.RecallAt != 0 {
		return false
	}
	for _, e := range f.Jobs.OnHost(i) {
		if e.Durable {
			return false
		}
	}
	return true
}

// Orders returns what to answer to a report that was taken, as things stand
// now.
func (f *Registry) Orders(r *Report, now event.Time, term Term) []Order {
	h := f.Machine(r.Machine, now)
	proof := r.Fence == term.Fence()
	entitled := term.Entitled(now)

	var starts, stops, reaps []Order
	seen := map[*pipeline.Entry]bool{}
	h.Stray = 0
	for _, s := range r.Shards {
		j, e, task := f.find(h, s)
		if e == nil {
			switch {
			case s.Phase == "exited" && s.Cause == "done" && j != nil && j.Final == pipeline.Queued && !j.IsDone(task):
				// not stored yet
			case s.Phase == "exited":
				reaps = append(reaps, Order{Verb: "reap", Shard: s.Shard, Try: s.Try})
			default:
				h.Stray++
				zero := 0.0
				stops = append(stops, Order{Verb: "stop", Shard: s.Shard, Try: s.Try, Wind: &zero})
			}
			continue
		}
		seen[e] = true
		// What is cancelled is stopped whatever else is on its way for it: a
		// task that was taken to be over may hang and go on.
		if s.Phase != "exited" && (e.Wish == pipeline.Keep || e.Job.Final == pipeline.Cancelled) {
			if stop, wind := f.mustStop(e); stop {
				stops = append(stops, Order{Verb: "stop", Shard: s.Shard, Try: s.Try, Wind: &wind})
			}
		}
	}
	for _, e := range f.sorted(h) {
		if seen[e] || !e.Durable || e.Wish != pipeline.Keep {
			continue
		}
		stop, _ := f.mustStop(e)
		switch {
		case !stop && e.Job.Shape == pipeline.Gang && e.Job.N > 1 && e.Seen >= pipeline.Waiting && proof:
			// The worker lost it: the rest of the gang cannot go on.
			f.breakGang(e.Job)
			f.Jobs.Clear(e)
		case !stop && entitled:
			starts = append(starts, Order{Verb: "start", Shard: shardName(e), Try: e.Try})
			// Lost with the worker's session, if it was there before.
			e.Ordered, e.Seen, e.Started = r.Tick, pipeline.Unseen, 0
			h.Images[e.Job.Bundle] = true
		case stop && proof:
			// One report is in flight at a time and responses never execute
			// late: a start that is not in this report will not happen.
			f.Jobs.Clear(e)
		}
	}
	h.Answered = now
	// Reaps first: a start is refused while another attempt is listed.
	return append(append(reaps, stops...), starts...)
}

func (f *Registry) note(h *Machine, r *Report, now event.Time) {
	if r.Tenure != h.Tenure && h.Tenure != 0 {
		h.Images = map[int]bool{}
		f.log.Info("worker lost its lease", "host", r.Machine, "tenure", r.Tenure)
	}
	if h.Heard != 0 && now-h.Heard > f.Silent {
		h.Back = now
	}
	if h.Heard == 0 {
		// A machine is not idle while it boots.
		h.IdleFrom, h.firstHeard = now, now
		f.Jobs.Changed = true
	}
	h.Addr, h.Spot, h.Tenure, h.Tick, h.Heard = r.Addr, r.Spot, r.Tenure, r.Tick, now
	h.Flavor, h.Zone, h.Known = f.Names.Flavors.Index(r.Flavor), f.Names.Zones.Index(r.Yard), true
	if r.Recall != nil && h.RecallAt == 0 {
		h.RecallAt = now + time.Duration(*r.Recall*float64(time.Second))
		f.Jobs.Changed = true
	} else if r.Recall == nil && h.RecallAt != 0 {
		h.RecallAt = 0
	}
}

// progress takes in what a report says of a task that we know of.
func (f *Registry) progress(h *Machine, e *pipeline.Entry, s Shard, now event.Time) {
	j := e.Job
	ph := phases[s.Phase]
	if ph >= pipeline.Waiting && ph < pipeline.Exited && e.Started == 0 {
		e.Started = int64(now)
		f.log.Debug("started", "job", j.ID, "class", f.Names.Classes.Name(j.Class), "task", e.Task, "try", e.Try, "host", h.Name, "since_placed", now-time.Duration(e.Placed), "since_seen", now-time.Duration(j.FirstSeen))
	}
	e.Seen = ph
	if ph >= pipeline.Waiting {
		h.Images[j.Bundle] = true
	}
	if ph != pipeline.Exited {
		return
	}
	f.Jobs.Changed = true
	if j.Final == pipeline.Cancelled {
		f.Jobs.Clear(e)
		return
	}
	switch s.Cause {
	case "done":
		clear(h.Errors)
		j.Errors = 0
		if e.Wish == pipeline.Keep {
			f.timed(h, e, now)
		}
		if j.Shape == pipeline.Gang {
			// They complete together: when one task is done, all are.
			for t := 0; t < j.N; t++ {
				f.Jobs.MarkDone(j, t)
			}
			return
		}
		f.Jobs.MarkDone(j, e.Task)
		return
	case "error":
		if e.Wish == pipeline.Keep {
			f.failed(h, j, now)
		}
	case "full", "in_use":
		h.Refused = now + refusedPause
	case "unknown":
		f.park(j, now)
	}
	if j.Shape == pipeline.Gang && j.N > 1 {
		f.breakGang(j)
	}
	f.Jobs.Clear(e)
}

// timed learns from a completion how long a class runs, measured in its
// owners' estimates, and whether a machine is slow.
func (f *Registry) timed(h *Machine, e *pipeline.Entry, now event.Time) {
	j := e.Job
	if j.Expect <= 0 || e.Started == 0 {
		return
	}
	took := time.Duration(int64(now)-e.Started).Seconds() / j.Expect
	usual, known := f.ratio[j.Class]
	if !known {
		usual = 1
	}
	if took > slowTimes*usual {
		if h.Slow == nil {
			h.Slow = map[string]bool{}
		}
		if h.Slow[j.ID] = true; len(h.Slow) == slowJobs {
			f.log.Info("machine is slow", "host", h.Name)
		}
	} else {
		clear(h.Slow)
	}
	f.ratio[j.Class] = usual + ratioWeight*(took-usual)
}

// Usual is what a job's task usually takes, in seconds: its owner's estimate,
// corrected by what its class took lately. On some days estimates are mostly
// too high or mostly too low.
func (f *Registry) Usual(j *pipeline.Job) float64 {
	if r, ok := f.ratio[j.Class]; ok {
		return j.Expect * r
	}
	return j.Expect
}

// failed sorts out whether the machine or the job is at fault.
func (f *Registry) failed(h *Machine, j *pipeline.Job, now event.Time) {
	f.log.Info("task failed", "job", j.ID, "host", h.Name)
	if j.BadHosts == nil {
		j.BadHosts = map[int]bool{}
	}
	j.BadHosts[h.Index] = true
	if h.Errors == nil {
		h.Errors = map[string]bool{}
	}
	h.Errors[j.ID] = true
	if len(j.BadHosts) >= faultyHosts {
		// The job fails everywhere: its user may still cancel it, nobody
		// else may end it, so it is tried again ever more rarely. The
		// machines are not to blame.
		for b := range j.BadHosts {
			if o := f.At(b); o != nil {
				delete(o.Errors, j.ID)
			}
		}
		j.BadHosts = nil
		f.park(j, now)
	}
}

func (f *Registry) park(j *pipeline.Job, now event.Time) {
	j.Errors++
	pause := min(parkMost, parkBase<<min(j.Errors-1, 8))
	j.Parked = int64(now + pause)
	f.log.Info("job parked", "job", j.ID, "for", pause)
}

func (f *Registry) breakGang(j *pipeline.Job) {
	j.Breaking = true
	j.Entries(func(e *pipeline.Entry) {
		if !e.Evict {
			e.Evict, e.Wind = true, j.SnapCost+1
			f.Jobs.Touch(e.Host)
		}
		f.stopSoon(e)
		if !e.Durable {
			f.Jobs.Clear(e)
		}
	})
}

// mustStop tells whether a task is to be stopped, and with how much grace.
func (f *Registry) mustStop(e *pipeline.Entry) (bool, float64) {
	if e.Job.Final != pipeline.Queued {
		return true, 0
	}
	return e.Evict, e.Wind
}

// Evict asks for a task to be stopped so that it can run elsewhere. A gang
// stops as a whole.
func (f *Registry) Evict(e *pipeline.Entry, wind float64) {
	if e.Evict {
		return
	}
	f.Jobs.Changed = true
	if e.Job.Shape == pipeline.Gang && e.Job.N > 1 {
		f.breakGang(e.Job)
		return
	}
	e.Evict, e.Wind = true, wind
	f.Jobs.Touch(e.Host)
	f.stopSoon(e)
	if !e.Durable {
		f.Jobs.Clear(e)
	}
}

func (f *Registry) sorted(h *Machine) []*pipeline.Entry {
	if len(f.Jobs.OnHost(h.Index)) == 0 {
		return nil
	}
	list := slices.Clone(f.Jobs.OnHost(h.Index))
	sort.Slice(list, func(a, b int) bool {
		if list[a].Job.Order != list[b].Job.Order {
			return list[a].Job.Order < list[b].Job.Order
		}
		return list[a].Task < list[b].Task
	})
	return list
}

// Tick sends stops straight to workers, finds machines whose tasks are surely
// gone and re-arms gangs whose old attempt has ended. Machines on which nothing
// is to be stopped cost nothing.
func (f *Registry) Tick(now event.Time, term Term, out *event.Effects) {
	for _, j := range f.Jobs.TakeEnded() {
		j.Entries(f.stopSoon)
	}
	for _, i := range slices.Sorted(maps.Keys(f.toStop)) {
		if h := f.At(i); h == nil || !f.directStops(h, now, term, out) {
			delete(f.toStop, i)
		}
	}
	if now-f.lookAt < lookEvery {
		return
	}
	f.lookAt = now
	f.Jobs.HostsInUse(func(i int) {
		h := f.At(i)
		if h == nil {
			h = f.Machine(f.Names.Hosts.Name(i), now)
		}
		// A report that is taken and not answered yet counts, too: what is
		// placed on the machine meanwhile is not lost with its old session.
		if now >= term.SilentProof(max(h.Answered, h.Heard)) {
			f.Gone(h, now)
		}
	})
	for _, j := range f.Jobs.Jobs {
		if j != nil && j.Breaking && j.Active() == 0 {
			j.Breaking = false
			f.Jobs.Changed = true
		}
	}
}

// Gone clears everything on a machine that is proven to run nothing.
func (f *Registry) Gone(h *Machine, now event.Time) {
	if h.Heard != 0 {
		f.log.Info("machine gone", "host", h.Name, "tasks", len(f.Jobs.OnHost(h.Index)))
	}
	for _, e := range f.sorted(h) {
		if e.Job.Shape == pipeline.Gang && e.Job.N > 1 {
			f.breakGang(e.Job)
		}
		f.Jobs.Clear(e)
	}
	h.Heard = 0
	f.Jobs.Changed = true
}

// stopSoon notes that a task is to be stopped.
func (f *Registry) stopSoon(e *pipeline.Entry) { f.toStop[e.Host] = true }

// directStops sends stops that cannot wait for the next report. Executed
// late they do no harm: they name an attempt, and attempts are not reused. It
// tells whether a task on the machine is still to be stopped.
func (f *Registry) directStops(h *Machine, now event.Time, term Term, out *event.Effects) (more bool) {
	ready := h.Heard != 0 && h.Addr != "" && now-h.direct >= directEvery
	var orders []Order
	for _, e := range f.Jobs.OnHost(h.Index) {
		stop, wind := f.mustStop(e)
		more = more || stop
		if ready && stop && e.Durable && e.Wish == pipeline.Keep && e.Seen != pipeline.Unseen && e.Seen < pipeline.Saving {
			orders = append(orders, Order{Verb: "stop", Shard: shardName(e), Try: e.Try, Wind: &wind})
		}
	}
	sort.Slice(orders, func(a, b int) bool { return orders[a].Shard < orders[b].Shard })
	if len(orders) == 0 {
		return more
	}
	h.direct = now
	body, _ := json.Marshal(direct{term.Fence(), h.Tenure, orders})
	f.calls[out.Call(h.Addr, "POST", "/do", body, directWait)] = nil
	return more
}

// Show tells a machine our fence by a command without orders. A leader that
// lost the state service and the other controllers, but not its workers, may
// answer them for its whole grace; shown a higher fence, they tell it at once,
// and report to us. The proof of silence does not rest on it.
func (f *Registry) Show(h *Machine, now event.Time, term Term, out *event.Effects) {
	if h.Addr == "" || (h.shown != 0 && now-h.shown < showEvery) {
		return
	}
	h.shown = now
	f.show(h, max(h.Tenure, 1), term, out, h)
}

func (f *Registry) show(h *Machine, tenure uint64, term Term, out *event.Effects, learn *Machine) {
	body, _ := json.Marshal(direct{term.Fence(), tenure, []Order{}})
	f.calls[out.Call(h.Addr, "POST", "/do", body, directWait)] = learn
}

type direct struct {
	Fence  uint64  `json:"fence"`
	Tenure uint64  `json:"tenure"`
	Orders []Order `json:"orders"`
}

// CallDone takes the outcome of a direct command: the worker's next report
// tells what became of it. Only its session is taken from an answer that says
// that we had it wrong.
func (f *Registry) CallDone(d event.CallDone, term Term, out *event.Effects) bool {
	h, ok := f.calls[d.ID]
	if !ok {
		return false
	}
	delete(f.calls, d.ID)
	if h != nil && d.Status == 409 {
		if r, err := parseReport(d.Body); err == nil && r.Fence < term.Fence() {
			f.show(h, r.Tenure, term, out, nil)
		}
	}
	return true
}
