// Package worker knows the machines: what their workers report, which orders
// they are to get, and when the tasks on a silent machine are surely terminated.
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

// Term is what the worker registry asks of the leadership.
type Term interface {
	FencingToken() uint64
	MayStart(now event.Time) bool
	ObserveToken(f uint64)
	TasksExpireAt(lastAnswer event.Time) event.Time
	WorkerLease() time.Duration
}

// Machine is a machine.
type Machine struct {
	Index       int
	Name        string
	Addr        string
	MachineType int
	Zone        int
	Spot        bool

	Known          bool // machine type and zone are known
	TokenConfirmed bool // a report of it carried our fencing token: our answers reach it
	// Deaf is since when our answers seem not to reach it, 0: they do. Its
	// reports may go on arriving all the while.
	UnreachableSince   event.Time
	unreachableSession uint64
	unconfirmedReports int // reports without our fencing token since we first answered one
	Session            uint64
	Sequence           uint64
	LastReport         event.Time // of the last report, 0: none in this term
	LastAnswer         event.Time
	ReconnectedAt      event.Time // when it was last heard again after it had been silent
	ReclaimAt          event.Time // 0: no notice

	UnknownTasks int // tasks on it that no entry explains
	Images       map[int]bool
	RefusedUntil event.Time // full or in_use: not to be used before
	// Jobs by name: an index serves another job once one is forgotten.
	failedJobs        map[string]event.Time // failed here since a task last completed: how long they had run
	failingSince      event.Time            // the first of these failures
	Faulty            bool                  // several jobs that work elsewhere fail here: no task may be placed
	SlowJobs          map[string]bool       // jobs in a row that ran far longer here than their class does
	Retiring          bool                  // logged as retired: no task may be placed
	Draining          bool                  // its tasks were told to move: to be returned when empty
	firstReport       event.Time
	IdleFrom          event.Time
	ReservedAt        event.Time // when capacity on it was last kept for a job that waits
	lastDirectCommand event.Time
	lastAnnouncement  event.Time
}

// Registry is the table of machines.
type Registry struct {
	Names        *pipeline.Names
	Jobs         *pipeline.Table
	Machines     []*Machine // by index, nil if gone
	log          *slog.Logger
	calls        map[uint64]*Machine // direct commands in flight, nil: nothing is to be learnt
	toStop       map[int]bool        // machines on which a task is to be stopped
	scanAt       event.Time
	runtimeRatio map[int]float64 // run time against estimate, per class
	suspects     map[int]bool    // machines with failed jobs
	faultScanAt  event.Time

	// Silent is how long a machine may be quiet before that tells something.
	SilentAfter event.Time
}

// New returns an empty worker registry.
func New(n *pipeline.Names, t *pipeline.Table, log *slog.Logger) *Registry {
	return &Registry{Names: n, Jobs: t, log: log, calls: map[uint64]*Machine{}, toStop: map[int]bool{}, runtimeRatio: map[int]float64{}, suspects: map[int]bool{}}
}

// Machine returns a machine by name, adding it when new.
func (f *Registry) Machine(name string, now event.Time) *Machine {
	i := f.Names.Machines.Index(name)
	for len(f.Machines) <= i {
		f.Machines = append(f.Machines, nil)
	}
	if f.Machines[i] == nil {
		f.Machines[i] = &Machine{Index: i, Name: name, MachineType: -1, Zone: -1, Images: map[int]bool{}, IdleFrom: now}
	}
	return f.Machines[i]
}

// At returns a machine by index, or nil.
func (f *Registry) At(i int) *Machine {
	if i < 0 || i >= len(f.Machines) {
		return nil
	}
	return f.Machines[i]
}

// Reset drops what only a leader knows.
func (f *Registry) Reset() {
	f.Machines = nil
	clear(f.toStop)
	clear(f.suspects)
}

// Up tells whether a machine can take tasks now.
func (h *Machine) Up(now event.Time, silent time.Duration) bool {
	return h.Known && h.TokenConfirmed && h.UnreachableSince == 0 && h.LastReport > 0 && now-h.LastReport < silent && !h.Retiring && !h.Draining && h.ReclaimAt == 0 && h.UnknownTasks == 0 && now >= h.RefusedUntil && !h.Faulty && len(h.SlowJobs) < maxSlowJobs
}

const (
	// A machine on which this many jobs in a row took slowFactor what their class
	// takes, by their owners' estimates, gets nothing more. One job says little:
	// estimates are often wrong by half.
	maxSlowJobs  = 3
	slowFactor   = 1.8
	ratioWeight  = 0.1 // of a new completion in a class's ratio of run time to estimate
	refusedPause = 4 * time.Second
	// A start that so many reports in a row do not show did not arrive.
	maxMissedStarts   = 3
	unreachableMargin = 3 * time.Second
	directInterval    = time.Second
	announceInterval  = 10 * time.Second
	scanInterval      = 250 * time.Millisecond // between two looks at all machines in use
	directTimeout     = 3 * time.Second
)

// ParseTaskName splits a task's name into its job and number.
func ParseTaskName(s string) (job string, task int, ok bool) {
	i := strings.LastIndexByte(s, '/')
	if i < 0 {
		return "", 0, false
	}
	n, err := strconv.Atoi(s[i+1:])
	return s[:i], n, err == nil && n >= 0
}

// taskName is a task's name.
func taskName(e *pipeline.Entry) string { return e.Job.ID + "/" + strconv.Itoa(e.Task) }

var phases = map[string]pipeline.TaskPhase{"pulling": pipeline.Pulling, "waiting": pipeline.Waiting,
	"running": pipeline.RunningTask, "saving": pipeline.Saving, "exited": pipeline.Exited}

// TakeReport takes a report in. ok is false for a report that is older than one we
// have seen.
func (f *Registry) TakeReport(r *Report, now event.Time, term Term) (ok bool) {
	h := f.Machine(r.Machine, now)
	if r.Session < h.Session || (r.Session == h.Session && r.Sequence <= h.Sequence) {
		// Held back by the network, or a copy: its task list is as old as it
		// is, and whoever sent it waits for no answer.
		return false
	}
	if r.Session == h.Session && h.LastAnswer > 0 && now >= term.TasksExpireAt(max(h.LastAnswer, h.LastReport)) {
		// Its session has ended since we answered it last: this was held back
		// since before, by a machine that may be gone.
		return false
	}
	term.ObserveToken(r.FencingToken)
	f.updateMachine(h, r, now)
	for _, s := range r.Tasks {
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
	f.checkReachable(h, r, now, term)
	return true
}

// checkReachable finds out whether our answers reach a machine: being heard from is not
// being reachable. A machine is used once a report carries our fencing token, which is
// also what tells a report of this term from a copy of an older one; and no
// more once it does not take up what it was told.
func (f *Registry) checkReachable(h *Machine, r *Report, now event.Time, term Term) {
	if !h.TokenConfirmed {
		switch {
		case r.FencingToken == term.FencingToken():
			h.TokenConfirmed, h.UnreachableSince = true, 0
			f.Jobs.Changed = true
		case h.UnreachableSince != 0 || h.LastAnswer == 0:
		case h.unconfirmedReports < maxMissedStarts:
			// What we answered first may have been a copy; the machine itself,
			// which stayed with the leader before us, answers for itself.
			h.unconfirmedReports++
		case now-h.firstReport > f.SilentAfter:
			f.markUnreachable(h, now)
		}
		return
	}
	if h.UnreachableSince != 0 {
		// A session that outlives the lease has heard us.
		if h.Session == h.unreachableSession && now-h.UnreachableSince > term.WorkerLease()+unreachableMargin {
			f.log.Info("machine is reachable again", "machine", h.Name)
			h.UnreachableSince = 0
			f.Jobs.Changed = true
		} else {
			f.evictUnstarted(h)
		}
		return
	}
	for _, e := range f.Jobs.OnMachine(h.Index) {
		if e.OrderedSequence == 0 || e.OrderedSequence >= r.Sequence || e.Phase != pipeline.Unseen {
			continue
		}
		name := taskName(e)
		if slices.ContainsFunc(r.Tasks, func(s TaskReport) bool { return s.Task == name }) {
			e.MissedReports = 0
		} else if e.MissedReports++; e.MissedReports >= maxMissedStarts {
			f.markUnreachable(h, now)
			return
		}
	}
}

// markUnreachable gives up on a machine that does not hear us: what it never took up is
// moved, once a report proves that it will not start. What runs goes on: it may
// complete before its lease ends, and we may be wrong.
func (f *Registry) markUnreachable(h *Machine, now event.Time) {
	f.log.Info("machine is unreachable: it does not receive our answers", "machine", h.Name, "tasks", len(f.Jobs.OnMachine(h.Index)))
	h.UnreachableSince, h.unreachableSession = now, h.Session
	f.evictUnstarted(h)
}

func (f *Registry) evictUnstarted(h *Machine) {
	for _, e := range f.sorted(h) {
		if e.Phase == pipeline.Unseen {
			f.Evict(e, e.Job.CheckpointDuration+1)
		}
	}
}

// UnreachableBeyondLease tells whether a machine has not heard us for so long that its
// tasks have ended with its lease.
func (f *Registry) UnreachableBeyondLease(h *Machine, now event.Time, term Term) bool {
	return h.UnreachableSince != 0 && now-h.UnreachableSince > term.WorkerLease()+2*unreachableMargin
}

// find returns the job and the entry that a reported task belongs to, nil
// where there is none.
func (f *Registry) find(h *Machine, s TaskReport) (j *pipeline.Job, e *pipeline.Entry, task int) {
	id, task, good := ParseTaskName(s.Task)
	if !good {
		return nil, nil, 0
	}
	if j = f.Jobs.Job(id); j == nil || task >= j.TaskCount {
		return nil, nil, task
	}
	if e = j.Entry(task); e != nil && (e.Machine != h.Index || e.Attempt != s.Attempt) {
		e = nil
	}
	return j, e, task
}

// Settled tells whether nothing that concerns the machine is being stored:
// an answer given now would not be followed by another in a moment.
func (f *Registry) Settled(machine int) bool {
	for _, e := range f.Jobs.OnMachine(machine) {
		if !e.Durable || e.Pending != pipeline.NoPendingWrite {
			return false
		}
	}
	return true
}

// Idle tells whether a usable machine reports no task and has none to start yet.
func (f *Registry) Idle(r *Report) bool {
	i, ok := f.Names.Machines.Lookup(r.Machine)
	if !ok || len(r.Tasks) > 0 {
		return false
	}
	h := f.At(i)
	if h == nil || !h.TokenConfirmed || h.UnreachableSince != 0 || h.Retiring || h.ReclaimAt != 0 {
		return false
	}
	for _, e := range f.Jobs.OnMachine(i) {
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
	proof := r.FencingToken == term.FencingToken()
	entitled := term.MayStart(now)

	var starts, stops, reaps []Order
	seen := map[*pipeline.Entry]bool{}
	h.UnknownTasks = 0
	for _, s := range r.Tasks {
		j, e, task := f.find(h, s)
		if e == nil {
			switch {
			case s.Phase == "exited" && s.Cause == "done" && j != nil && j.Final == pipeline.Queued && !j.IsDone(task):
				// not stored yet
			case s.Phase == "exited":
				reaps = append(reaps, Order{Verb: "reap", Task: s.Task, Attempt: s.Attempt})
			default:
				h.UnknownTasks++
				zero := 0.0
				stops = append(stops, Order{Verb: "stop", Task: s.Task, Attempt: s.Attempt, GracePeriod: &zero})
			}
			continue
		}
		seen[e] = true
		// What is cancelled is stopped whatever else is on its way for it: a
		// task that was taken to be over may hang and go on.
		if s.Phase != "exited" && (e.Pending == pipeline.NoPendingWrite || e.Job.Final == pipeline.Cancelled) {
			if stop, gracePeriod := f.mustStop(e); stop {
				stops = append(stops, Order{Verb: "stop", Task: s.Task, Attempt: s.Attempt, GracePeriod: &gracePeriod})
			}
		}
	}
	for _, e := range f.sorted(h) {
		if seen[e] || !e.Durable || e.Pending != pipeline.NoPendingWrite {
			continue
		}
		stop, _ := f.mustStop(e)
		switch {
		case !stop && e.Job.Shape == pipeline.Gang && e.Job.TaskCount > 1 && e.Phase >= pipeline.Waiting && proof:
			// The worker lost it: the rest of the gang cannot go on.
			f.stopGang(e.Job)
			f.Jobs.Clear(e)
		case !stop && entitled:
			starts = append(starts, Order{Verb: "start", Task: taskName(e), Attempt: e.Attempt})
			// Lost with the worker's session, if it was there before.
			e.OrderedSequence, e.Phase, e.StartedAt = r.Sequence, pipeline.Unseen, 0
			h.Images[e.Job.Image] = true
		case stop && proof:
			// One report is in flight at a time and responses never execute
			// late: a start that is not in this report will not happen.
			f.Jobs.Clear(e)
		}
	}
	h.LastAnswer = now
	// Reaps first: a start is refused while another attempt is listed.
	return append(append(reaps, stops...), starts...)
}

func (f *Registry) updateMachine(h *Machine, r *Report, now event.Time) {
	if r.Session != h.Session && h.Session != 0 {
		h.Images = map[int]bool{}
		f.log.Info("worker lost its lease", "machine", r.Machine, "session", r.Session)
	}
	if h.LastReport != 0 && now-h.LastReport > f.SilentAfter {
		h.ReconnectedAt = now
	}
	if h.LastReport == 0 {
		// A machine is not idle while it boots.
		h.IdleFrom, h.firstReport = now, now
		f.Jobs.Changed = true
	}
	h.Addr, h.Spot, h.Session, h.Sequence, h.LastReport = r.Addr, r.Spot, r.Session, r.Sequence, now
	h.MachineType, h.Zone, h.Known = f.Names.MachineTypes.Index(r.MachineType), f.Names.Zones.Index(r.Zone), true
	if r.ReclaimIn != nil && h.ReclaimAt == 0 {
		h.ReclaimAt = now + time.Duration(*r.ReclaimIn*float64(time.Second))
		f.Jobs.Changed = true
	} else if r.ReclaimIn == nil && h.ReclaimAt != 0 {
		h.ReclaimAt = 0
	}
}

// progress takes in what a report says of a task that we know of.
func (f *Registry) progress(h *Machine, e *pipeline.Entry, s TaskReport, now event.Time) {
	j := e.Job
	ph := phases[s.Phase]
	if ph >= pipeline.Waiting && ph < pipeline.Exited && e.StartedAt == 0 {
		e.StartedAt = int64(now)
		f.log.Debug("started", "job", j.ID, "class", f.Names.Classes.Name(j.Class), "task", e.Task, "attempt", e.Attempt, "machine", h.Name, "since_placed", now-time.Duration(e.PlacedAt), "since_ready", now-time.Duration(j.ReadySince))
	}
	e.Phase = ph
	if ph >= pipeline.Waiting {
		h.Images[j.Image] = true
	}
	if ph != pipeline.Exited {
		return
	}
	f.Jobs.Changed = true
	f.Jobs.MarkMachineChanged(h.Index) // what the task took is free again
	if j.Final == pipeline.Cancelled {
		f.Jobs.Clear(e)
		return
	}
	switch s.Cause {
	case "done":
		f.taskSucceeded(h, j)
		if e.Pending == pipeline.NoPendingWrite {
			f.recordRuntime(h, e, now)
		}
		if j.Shape == pipeline.Gang {
			// They complete together: when one task is done, all are.
			for t := 0; t < j.TaskCount; t++ {
				f.Jobs.MarkDone(j, t)
			}
			return
		}
		f.Jobs.MarkDone(j, e.Task)
		return
	case "error":
		if e.Pending == pipeline.NoPendingWrite {
			f.taskFailed(h, e, now)
		}
	case "full", "in_use":
		h.RefusedUntil = now + refusedPause
	case "unknown":
		// Its user has not uploaded it: another attempt comes to the same so soon.
		if !j.BackingOff(int64(now)) {
			f.Jobs.BackOff(j, now)
		}
	}
	if j.Shape == pipeline.Gang && j.TaskCount > 1 {
		f.stopGang(j)
	}
	f.Jobs.Clear(e)
}

// recordRuntime learns from a completion how long a class runs, measured in its
// owners' estimates, and whether a machine is slow.
func (f *Registry) recordRuntime(h *Machine, e *pipeline.Entry, now event.Time) {
	j := e.Job
	if j.EstimatedRuntime <= 0 || e.StartedAt == 0 {
		return
	}
	took := time.Duration(int64(now)-e.StartedAt).Seconds() / j.EstimatedRuntime
	usual, known := f.runtimeRatio[j.Class]
	if !known {
		usual = 1
	}
	if took > slowFactor*usual {
		if h.SlowJobs == nil {
			h.SlowJobs = map[string]bool{}
		}
		if h.SlowJobs[j.ID] = true; len(h.SlowJobs) == maxSlowJobs {
			f.log.Info("machine is slow", "machine", h.Name)
		}
	} else {
		clear(h.SlowJobs)
	}
	f.runtimeRatio[j.Class] = usual + ratioWeight*(took-usual)
}

// ExpectedRuntime is what a job's task usually takes, in seconds: its owner's estimate,
// corrected by what its class took lately. On some days estimates are mostly
// too high or mostly too low.
func (f *Registry) ExpectedRuntime(j *pipeline.Job) float64 {
	if r, ok := f.runtimeRatio[j.Class]; ok {
		return j.EstimatedRuntime * r
	}
	return j.EstimatedRuntime
}

func (f *Registry) stopGang(j *pipeline.Job) {
	j.Stopping = true
	j.Entries(func(e *pipeline.Entry) {
		if !e.Evict {
			e.Evict, e.GracePeriod = true, j.CheckpointDuration+1
			f.Jobs.MarkMachineChanged(e.Machine)
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
	return e.Evict, e.GracePeriod
}

// Evict asks for a task to be stopped so that it can run elsewhere. A gang
// stops as a whole.
func (f *Registry) Evict(e *pipeline.Entry, gracePeriod float64) {
	if e.Evict {
		return
	}
	f.Jobs.Changed = true
	if e.Job.Shape == pipeline.Gang && e.Job.TaskCount > 1 {
		f.stopGang(e.Job)
		return
	}
	e.Evict, e.GracePeriod = true, gracePeriod
	f.Jobs.MarkMachineChanged(e.Machine)
	f.stopSoon(e)
	if !e.Durable {
		f.Jobs.Clear(e)
	}
}

func (f *Registry) sorted(h *Machine) []*pipeline.Entry {
	if len(f.Jobs.OnMachine(h.Index)) == 0 {
		return nil
	}
	list := slices.Clone(f.Jobs.OnMachine(h.Index))
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
	if now-f.scanAt < scanInterval {
		return
	}
	f.scanAt = now
	f.scanFaults(now)
	f.Jobs.MachinesInUse(func(i int) {
		h := f.At(i)
		if h == nil {
			h = f.Machine(f.Names.Machines.Name(i), now)
		}
		// A report that is taken and not answered yet counts, too: what is
		// placed on the machine meanwhile is not lost with its old session.
		if now >= term.TasksExpireAt(max(h.LastAnswer, h.LastReport)) {
			f.MarkTerminated(h, now)
		}
	})
	for _, j := range f.Jobs.Jobs {
		if j == nil {
			continue
		}
		f.checkService(j, now)
		if j.Stopping && j.Active() == 0 {
			j.Stopping = false
			f.Jobs.Changed = true
		}
	}
}

// MarkTerminated clears everything on a machine that is proven to run nothing.
func (f *Registry) MarkTerminated(h *Machine, now event.Time) {
	if h.LastReport != 0 {
		f.log.Info("machine terminated", "machine", h.Name, "tasks", len(f.Jobs.OnMachine(h.Index)))
	}
	for _, e := range f.sorted(h) {
		if e.Job.Shape == pipeline.Gang && e.Job.TaskCount > 1 {
			f.stopGang(e.Job)
		}
		f.Jobs.Clear(e)
	}
	h.LastReport = 0
	f.Jobs.Changed = true
}

// stopSoon notes that a task is to be stopped.
func (f *Registry) stopSoon(e *pipeline.Entry) { f.toStop[e.Machine] = true }

// directStops sends stops that cannot wait for the next report. Executed
// late they do no harm: they name an attempt, and attempts are not reused. It
// tells whether a task on the machine is still to be stopped.
func (f *Registry) directStops(h *Machine, now event.Time, term Term, out *event.Effects) (more bool) {
	ready := h.LastReport != 0 && h.Addr != "" && now-h.lastDirectCommand >= directInterval
	var orders []Order
	for _, e := range f.Jobs.OnMachine(h.Index) {
		stop, gracePeriod := f.mustStop(e)
		more = more || stop
		if ready && stop && e.Durable && e.Pending == pipeline.NoPendingWrite && e.Phase != pipeline.Unseen && e.Phase < pipeline.Saving {
			orders = append(orders, Order{Verb: "stop", Task: taskName(e), Attempt: e.Attempt, GracePeriod: &gracePeriod})
		}
	}
	sort.Slice(orders, func(a, b int) bool { return orders[a].Task < orders[b].Task })
	if len(orders) == 0 {
		return more
	}
	h.lastDirectCommand = now
	body, _ := json.Marshal(directCommand{term.FencingToken(), h.Session, orders})
	f.calls[out.Call(h.Addr, "POST", "/do", body, directTimeout)] = nil
	return more
}

// AnnounceToken tells a machine our fencing token by a command without orders. A leader that
// lost the state service and the other controllers, but not its workers, may
// answer them for its whole grace; told a higher fencing token, they tell it at once,
// and report to us. The proof of silence does not rest on it.
func (f *Registry) AnnounceToken(h *Machine, now event.Time, term Term, out *event.Effects) {
	if h.Addr == "" || (h.lastAnnouncement != 0 && now-h.lastAnnouncement < announceInterval) {
		return
	}
	h.lastAnnouncement = now
	f.announceToken(h, max(h.Session, 1), term, out, h)
}

func (f *Registry) announceToken(h *Machine, session uint64, term Term, out *event.Effects, learn *Machine) {
	body, _ := json.Marshal(directCommand{term.FencingToken(), session, []Order{}})
	f.calls[out.Call(h.Addr, "POST", "/do", body, directTimeout)] = learn
}

type directCommand struct {
	FencingToken uint64  `json:"fence"`
	Session      uint64  `json:"tenure"`
	Orders       []Order `json:"orders"`
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
		if r, err := parseReport(d.Body); err == nil && r.FencingToken < term.FencingToken() {
			f.announceToken(h, r.Session, term, out, nil)
		}
	}
	return true
}
