package worker

import (
	"iter"
	"log/slog"
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
	Logger           *slog.Logger
}

// Registry is the table of machines. It is not safe for concurrent use.
type Registry struct {
	names            *pipeline.Names
	jobs             *pipeline.Table
	heartbeatTimeout time.Duration
	log              *slog.Logger

	machines []*Machine // by index, nil if there is none
	count    int        // of the machines

	failures    failureDetector
	runtimes    runtimeRatios
	calls       directCalls
	terminating map[pipeline.MachineIndex]bool // machines on which a task is to be terminated
	scannedAt   event.Time                     // when the machines in use were last scanned
}

// New returns an empty registry.
func New(cfg Config) *Registry {
	r := &Registry{
		names:            cfg.Names,
		jobs:             cfg.Jobs,
		heartbeatTimeout: cfg.HeartbeatTimeout,
		log:              cfg.Logger,
		runtimes:         runtimeRatios{},
		calls:            directCalls{inFlight: map[uint64]directCall{}},
		terminating:      map[pipeline.MachineIndex]bool{},
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

// Len is the number of machines.
func (r *Registry) Len() int { return r.count }

// Add returns a machine by name, adding it when it is new. A new machine counts as idle
// since now.
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
func (r *Registry) MachineAt(index pipeline.MachineIndex) *Machine {
	if index < 0 || index >= pipeline.MachineIndex(len(r.machines)) {
		return nil
	}
	return r.machines[index]
}

// Reset drops what only a leader knows.
func (r *Registry) Reset() {
	r.machines = nil
	r.count = 0
	clear(r.terminating)
	r.failures.reset()
}
