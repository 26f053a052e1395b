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

// Config holds the dependencies and the settings of an Autoscaler.
type Config struct {
	Names   *pipeline.Names
	Jobs    *pipeline.Table
	Workers *worker.Registry
	Store   *kv.Client
	Log     *slog.Logger

	MaxValueBytes    int           // size of the largest value that the state service accepts
	CloudAddr        string        // host and port of the cloud's API
	CloudRPS         float64       // requests per second that the cloud accepts
	ListLag          time.Duration // by which the cloud's machine list may be out of date
	MaxConnections   int           // sockets that this controller may have open
	HeartbeatTimeout time.Duration // a machine without a heartbeat for longer is unresponsive
	IdleTimeout      time.Duration // an idle machine is released after this time
	SettleTime       time.Duration // after a term begins no machine is released for this long
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

	machineTypes    scheduler.MachineTypes // of the cloud, as last seen
	replanRequested bool                   // a response calls for another plan at once

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
func New(cfg Config) *Autoscaler {
	a := &Autoscaler{
		cfg:           cfg,
		names:         cfg.Names,
		jobs:          cfg.Jobs,
		workers:       cfg.Workers,
		store:         cfg.Store,
		log:           cfg.Log,
		boots:         map[int]*bootHistory{},
		decommissions: decommissions{stored: map[string]uint64{}},
	}
	a.Reset()
	return a
}

// MachineTypes returns the machine types of the cloud as last seen. The list that the
// pointer refers to is updated in place.
func (a *Autoscaler) MachineTypes() *scheduler.MachineTypes { return &a.machineTypes }

// ReplanRequested tells whether a response of the cloud calls for another plan at
// once.
func (a *Autoscaler) ReplanRequested() bool { return a.replanRequested }

// TakeReplanRequest is like ReplanRequested and clears the request: the caller makes
// the plan.
func (a *Autoscaler) TakeReplanRequest() bool {
	requested := a.replanRequested
	a.replanRequested = false
	return requested
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
