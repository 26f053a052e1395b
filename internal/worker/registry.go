package worker

import (
	"cmp"
	"log/slog"
	"maps"
	"slices"
	"time"

	"lugward/internal/event"
	"lugward/internal/pipeline"
)

// scanInterval is the time between two scans of all machines in use.
const scanInterval = 250 * time.Millisecond

// Registry is the table of machines.
type Registry struct {
	Names    *pipeline.Names
	Jobs     *pipeline.Table
	Machines []*Machine // by index, nil if released
	// HeartbeatTimeout is how long a machine may send no report before that tells
	// something.
	HeartbeatTimeout event.Time

	log          *slog.Logger
	calls        map[uint64]directCall // in flight, by call
	announcing   int                   // of these, the announcements
	terminating  map[int]bool          // machines on which a task is to be stopped
	suspects     map[int]bool          // machines with failed jobs
	runtimeRatio map[int]float64       // runtime against estimate, by class
	scannedAt    event.Time
	faultScanAt  event.Time
}

// New returns an empty registry.
func New(names *pipeline.Names, jobs *pipeline.Table, log *slog.Logger) *Registry {
	return &Registry{
		Names:        names,
		Jobs:         jobs,
		log:          log,
		calls:        map[uint64]directCall{},
		terminating:  map[int]bool{},
		suspects:     map[int]bool{},
		runtimeRatio: map[int]float64{},
	}
}

// Add returns a machine by name, adding it when new.
func (r *Registry) Add(name string, now event.Time) *Machine {
	index := r.Names.Machines.Index(name)
	for len(r.Machines) <= index {
		r.Machines = append(r.Machines, nil)
	}
	if r.Machines[index] == nil {
		r.Machines[index] = &Machine{
			Index:       index,
			Name:        name,
			description: description{MachineType: unknown, Zone: unknown},
			use:         use{IdleSince: now, Images: map[int]bool{}},
		}
	}
	return r.Machines[index]
}

// Lookup returns a machine by name, or nil; unlike Machine it adds none.
func (r *Registry) Lookup(name string) *Machine {
	index, ok := r.Names.Machines.Lookup(name)
	if !ok {
		return nil
	}
	return r.MachineAt(index)
}

// MachineAt returns a machine by index, or nil.
func (r *Registry) MachineAt(index int) *Machine {
	if index < 0 || index >= len(r.Machines) {
		return nil
	}
	return r.Machines[index]
}

// Reset drops what only a leader knows.
func (r *Registry) Reset() {
	r.Machines = nil
	clear(r.terminating)
	clear(r.suspects)
}

// Tick sends stops straight to workers, finds machines whose tasks have surely
// terminated and lets gangs start again whose old attempt has ended. Machines on
// which nothing is to be stopped cost nothing.
func (r *Registry) Tick(now event.Time, term Leadership, out *event.Effects) {
	for _, job := range r.Jobs.TakeTerminatedJobs() {
		job.Assignments(r.terminateSoon)
	}
	for _, index := range slices.Sorted(maps.Keys(r.terminating)) {
		machine := r.MachineAt(index)
		if machine == nil || !r.sendTerminations(machine, now, term, out) {
			delete(r.terminating, index)
		}
	}
	if now-r.scannedAt < scanInterval {
		return
	}
	r.scannedAt = now
	r.scanFaults(now)
	r.Jobs.MachinesInUse(func(index int) { r.checkExpired(index, now, term) })
	for _, job := range r.Jobs.Jobs {
		if job != nil {
			r.checkService(job, now)
			r.checkStopped(job)
		}
	}
}

// checkExpired clears a machine whose tasks have terminated because its lease has
// ended.
func (r *Registry) checkExpired(index int, now event.Time, term Leadership) {
	machine := r.MachineAt(index)
	if machine == nil {
		machine = r.Add(r.Names.Machines.Name(index), now)
	}
	// A report that is taken and not answered yet counts, too: what is placed on
	// the machine meanwhile is not lost with its old session.
	lastContact := max(machine.LastAnswer, machine.LastHeartbeat)
	if now >= term.TasksExpireAt(lastContact) {
		r.RecordTermination(machine)
	}
}

// checkStopped lets a gang start again once all of its old attempt has terminated.
func (r *Registry) checkStopped(job *pipeline.Job) {
	if job.Terminating && job.ActiveCount() == 0 {
		job.Terminating = false
		r.Jobs.RequestRound()
	}
}

// RecordTermination clears everything on a machine that is proven to run nothing.
func (r *Registry) RecordTermination(machine *Machine) {
	if machine.LastHeartbeat != 0 {
		r.log.Info("machine terminated", "machine", machine.Name, "tasks", len(r.Jobs.OnMachine(machine.Index)))
	}
	for _, entry := range r.sortedAssignments(machine) {
		if entry.Job.IsGang() {
			r.terminateGang(entry.Job)
		}
		r.Jobs.RecordTermination(entry)
	}
	machine.LastHeartbeat = 0
	r.Jobs.RequestRound()
}

// sortedAssignments lists the entries of a machine by job, in the order of readiness,
// and task.
func (r *Registry) sortedAssignments(machine *Machine) []*pipeline.Assignment {
	entries := r.Jobs.OnMachine(machine.Index)
	if len(entries) == 0 {
		return nil
	}
	sorted := slices.Clone(entries)
	slices.SortFunc(sorted, func(a, b *pipeline.Assignment) int {
		return cmp.Or(cmp.Compare(a.Job.ReadyRevision, b.Job.ReadyRevision), cmp.Compare(a.Task, b.Task))
	})
	return sorted
}

// AllStored tells whether nothing that concerns the machine is being stored: an
// answer given now would not be followed by another in a moment.
func (r *Registry) AllStored(machine int) bool {
	for _, entry := range r.Jobs.OnMachine(machine) {
		if !entry.Stored() {
			return false
		}
	}
	return true
}

// Idle tells whether a usable machine reports no task and has none to start yet.
func (r *Registry) Idle(report *Heartbeat) bool {
	if len(report.Tasks) > 0 {
		return false
	}
	machine := r.Lookup(report.Machine)
	if machine == nil || !machine.reachable() || machine.leaving() {
		return false
	}
	for _, entry := range r.Jobs.OnMachine(machine.Index) {
		if entry.Durable {
			return false
		}
	}
	return true
}
