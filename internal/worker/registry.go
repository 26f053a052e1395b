package worker

import (
	"iter"
	"log/slog"
	"time"

	"lugward/internal/event"
	"lugward/internal/pipeline"
)

// Config holds the settings of a Registry.
type Config struct {
	Names *pipeline.Names
	Jobs  *pipeline.Table
	// HeartbeatTimeout is the time without a heartbeat after which a machine is considered
	// unresponsive.
	HeartbeatTimeout time.Duration
	Logger           *slog.Logger
}

// Registry is the table of machines. It is not safe for concurrent use.
type Registry struct {
	names            *pipeline.Names
	jobs             *pipeline.Table
	heartbeatTimeout time.Duration
	log              *slog.Logger

	machines []*Machine // by index; nil for an index without a machine
	count    int        // number of machines

	failures            failureDetector
	runtimes            runtimeRatios
	calls               directCalls
	pendingTerminations map[pipeline.MachineIndex]bool // machines with a task that must be terminated
	scannedAt           event.Time                     // when the machines in use were last scanned
}

// New returns an empty registry.
func New(cfg Config) *Registry {
	r := &Registry{
		names:               cfg.Names,
		jobs:                cfg.Jobs,
		heartbeatTimeout:    cfg.HeartbeatTimeout,
		log:                 cfg.Logger,
		runtimes:            runtimeRatios{},
		calls:               directCalls{inFlight: map[uint64]directCall{}},
		pendingTerminations: map[pipeline.MachineIndex]bool{},
	}
	r.failures = failureDetector{
		jobs:      cfg.Jobs,
		machineAt: r.MachineAt,
		log:       cfg.Logger,
		suspects:  map[pipeline.MachineIndex]bool{},
	}
	return r
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

// Len returns the number of machines.
func (r *Registry) Len() int { return r.count }

// Add returns the machine with the given name and adds it if it does not exist. A new
// machine is idle from now on.
func (r *Registry) Add(name string, now event.Time) *Machine {
	index := r.names.Machines.Index(name)
	for pipeline.MachineIndex(len(r.machines)) <= index {
		r.machines = append(r.machines, nil)
	}
	if r.machines[index] == nil {
		r.machines[index] = &Machine{
			Index:       index,
			Name:        name,
			description: description{machineType: unknown, zone: unknown},
			usage:       usage{idleSince: now, images: map[pipeline.ImageIndex]bool{}},
		}
		r.count++
	}
	return r.machines[index]
}

// Remove removes a machine that was returned to the cloud or reclaimed by it. It does
// nothing if the machine was removed before, even if it was added again since.
func (r *Registry) Remove(machine *Machine) {
	if r.MachineAt(machine.Index) == machine {
		r.machines[machine.Index] = nil
		r.count--
	}
}

// Lookup returns the machine with the given name, or nil if it does not exist.
func (r *Registry) Lookup(name string) *Machine {
	index, ok := r.names.Machines.Lookup(name)
	if !ok {
		return nil
	}
	return r.MachineAt(index)
}

// MachineAt returns the machine with the given index, or nil if it does not exist.
func (r *Registry) MachineAt(index pipeline.MachineIndex) *Machine {
	if index < 0 || index >= pipeline.MachineIndex(len(r.machines)) {
		return nil
	}
	return r.machines[index]
}

// Reset clears the state that only a leader maintains.
func (r *Registry) Reset() {
	r.machines = nil
	r.count = 0
	clear(r.pendingTerminations)
	r.failures.reset()
}
