package worker

import (
	"cmp"
	"iter"
	"log/slog"
	"slices"
	"time"

	"lugward/internal/event"
	"lugward/internal/pipeline"
)

// Config is what a registry is built from.
type Config struct {
	Names *pipeline.Names
	Jobs  *pipeline.Table
	// HeartbeatTimeout is how long a machine may send no heartbeat before it counts as
	// unresponsive.
	HeartbeatTimeout time.Duration
	Log              *slog.Logger
}

// Registry is the table of machines.
type Registry struct {
	names            *pipeline.Names
	jobs             *pipeline.Table
	heartbeatTimeout time.Duration
	log              *slog.Logger

	machines      []*Machine            // by index, nil if there is none
	count         int                   // of the machines
	calls         map[uint64]directCall // in flight, by call
	announcing    int                   // of these, the announcements
	terminating   map[int]bool          // machines on which a task is to be terminated
	suspects      map[int]bool          // machines with failed jobs
	runtimeRatio  map[int]float64       // runtime against estimate, by class
	scannedAt     event.Time
	failureScanAt event.Time
}

// New returns an empty registry.
func New(cfg Config) *Registry {
	return &Registry{
		names:            cfg.Names,
		jobs:             cfg.Jobs,
		heartbeatTimeout: cfg.HeartbeatTimeout,
		log:              cfg.Log,
		calls:            map[uint64]directCall{},
		terminating:      map[int]bool{},
		suspects:         map[int]bool{},
		runtimeRatio:     map[int]float64{},
	}
}

// All iterates over the machines in the order of their indices.
func (r *Registry) All() iter.Seq[*Machine] {
	return func(yield func(*Machine) bool) {
		for _, machine := range r.machines {
			if machine != nil && !yield(machine) {
				return
			}
		}
	}
}

// Len is the number of machines.
func (r *Registry) Len() int { return r.count }

// Add returns a machine by name, adding it when new.
func (r *Registry) Add(name string, now event.Time) *Machine {
	index := r.names.Machines.Index(name)
	for len(r.machines) <= index {
		r.machines = append(r.machines, nil)
	}
	if r.machines[index] == nil {
		r.machines[index] = &Machine{
			Index:       index,
			Name:        name,
			description: description{machineType: unknown, zone: unknown},
			usage:       usage{idleSince: now, images: map[int]bool{}},
		}
		r.count++
	}
	return r.machines[index]
}

// Remove forgets a machine that the cloud has taken back.
func (r *Registry) Remove(machine *Machine) {
	if r.MachineAt(machine.Index) == machine {
		r.machines[machine.Index] = nil
		r.count--
	}
}

// Lookup returns a machine by name, or nil; unlike Add it adds none.
func (r *Registry) Lookup(name string) *Machine {
	index, ok := r.names.Machines.Lookup(name)
	if !ok {
		return nil
	}
	return r.MachineAt(index)
}

// MachineAt returns a machine by index, or nil.
func (r *Registry) MachineAt(index int) *Machine {
	if index < 0 || index >= len(r.machines) {
		return nil
	}
	return r.machines[index]
}

// Reset drops what only a leader knows.
func (r *Registry) Reset() {
	r.machines = nil
	r.count = 0
	clear(r.terminating)
	clear(r.suspects)
}

// sortedAssignments lists the assignments of a machine by job, in the order of
// readiness, and task.
func (r *Registry) sortedAssignments(machine *Machine) []*pipeline.Assignment {
	assignments := r.jobs.OnMachine(machine.Index)
	if len(assignments) == 0 {
		return nil
	}
	sorted := slices.Clone(assignments)
	slices.SortFunc(sorted, func(a, b *pipeline.Assignment) int {
		return cmp.Or(cmp.Compare(a.Job.ReadyRevision, b.Job.ReadyRevision), cmp.Compare(a.Task, b.Task))
	})
	return sorted
}

// AllStored tells whether nothing that concerns the machine is being stored: a
// response given now would not be followed by another in a moment.
func (r *Registry) AllStored(machine int) bool {
	for _, assignment := range r.jobs.OnMachine(machine) {
		if !assignment.Stored() {
			return false
		}
	}
	return true
}

// Idle tells whether a usable machine reports no task and has none to start yet.
func (r *Registry) Idle(heartbeat *Heartbeat) bool {
	if len(heartbeat.Tasks) > 0 {
		return false
	}
	machine := r.Lookup(heartbeat.Machine)
	if machine == nil || !machine.reachable() || machine.leaving() {
		return false
	}
	for _, assignment := range r.jobs.OnMachine(machine.Index) {
		if assignment.Durable() {
			return false
		}
	}
	return true
}
