// Package autoscaler provisions and releases the machines of the cloud: it learns
// the machine types, provisions machines for tasks that find no capacity, and
// releases machines that nothing can use.
package autoscaler

import (
	"log/slog"
	"time"

	"lugward/internal/event"
	"lugward/internal/kv"
	"lugward/internal/pipeline"
	"lugward/internal/scheduler"
	"lugward/internal/worker"
)

// Keys in the state service.
const (
	TypesKey              = "c/types" // the machine types as last seen
	TypesKeyPrefix        = "c"       // of TypesKey
	DecommissionKeyPrefix = "h"       // h/<machine>: retired, to be released
)

// Config are the settings of the autoscaler.
type Config struct {
	ValueBytes     int           // the largest value that the state service accepts
	Addr           string        // of the cloud
	RPS            float64       // requests that the cloud accepts per second
	ListLag        time.Duration // by which the cloud's machine list may be out of date
	MaxConnections int           // sockets of this controller
	IdleKeep       time.Duration // an idle machine is kept for this long
	Settle         time.Duration // after a term begins nothing is released for this long
}

// Autoscaler provisions and releases the machines of the cloud. All nodes follow
// the stored machine types and retirements; everything else is the leader's.
type Autoscaler struct {
	cfg     Config
	names   *pipeline.Names
	jobs    *pipeline.Table
	workers *worker.Registry
	store   *kv.Client
	log     *slog.Logger

	// MachineTypes are the machine types of the cloud as last seen.
	MachineTypes scheduler.MachineTypes
	// Replan is set when a response calls for another plan at once.
	Replan bool

	types             typeRefresh
	cloud             cloudClient
	list              listProgress
	provisioning      provisioning
	decommissions     decommissions
	booting           map[int]*bootingMachine // by machine
	boots             map[int]*bootHistory    // by machine type
	partitioned       map[int]bool            // zones most of whose machines are silent
	termBeganAt       event.Time
	announcementsLeft bool       // machines wait for an announcement of our fencing token
	scannedAt         event.Time // when all machines were last looked at
}

// New returns an autoscaler that knows no machine types yet.
func New(cfg Config, names *pipeline.Names, jobs *pipeline.Table, workers *worker.Registry, client *kv.Client, log *slog.Logger) *Autoscaler {
	a := &Autoscaler{
		cfg:           cfg,
		names:         names,
		jobs:          jobs,
		workers:       workers,
		store:         client,
		log:           log,
		boots:         map[int]*bootHistory{},
		decommissions: decommissions{stored: map[string]uint64{}},
	}
	a.Reset()
	return a
}

// Reset drops what only a leader knows.
func (a *Autoscaler) Reset() {
	a.types.requestedAt = -typesInterval
	a.cloud.reset()
	a.list.reset()
	a.provisioning.reset()
	a.decommissions.reset()
	a.booting = map[int]*bootingMachine{}
	a.partitioned = nil
	a.announcementsLeft = false
	a.scannedAt = 0
}

// BeginTerm starts a term.
func (a *Autoscaler) BeginTerm(now event.Time, token uint64) {
	a.Reset()
	a.termBeganAt = now
	a.provisioning.serial = 0
	// What a leader before us provisioned last may be missing from the list: a
	// plan by an older list would provision it twice.
	a.list.planFrom = now
	if token > 1 {
		a.list.planFrom += a.cfg.ListLag
	}
}

// HandleChange takes a change of the replica.
func (a *Autoscaler) HandleChange(kind, rest string, data []byte, version uint64) {
	switch {
	case kind == DecommissionKeyPrefix && data == nil:
		delete(a.decommissions.stored, rest)
	case kind == DecommissionKeyPrefix:
		a.decommissions.stored[rest] = version
	case data != nil:
		a.takeTypes(data)
	}
}

// Released tells whether a machine was released in this term: a report of it
// that arrives now was written before.
func (a *Autoscaler) Released(machine string) bool {
	_, ok := a.decommissions.released[machine]
	return ok
}

// IsBooting tells whether a machine is waited for, by its index.
func (a *Autoscaler) IsBooting(machine int) bool { return a.booting[machine] != nil }

// HasUnregisteredMachines tells whether the cloud lists a machine as running that has not
// reported to us.
func (a *Autoscaler) HasUnregisteredMachines() bool {
	for _, booting := range a.booting {
		if booting.up {
			return true
		}
	}
	return false
}
