package worker

import (
	"log/slog"
	"maps"
	"slices"
	"sort"

	"lugward/internal/event"
	"lugward/internal/pipeline"
)

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
