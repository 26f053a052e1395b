// Package controller combines the components of a controller and routes each input to
// the component that handles it. It is a deterministic state machine: it reads no
// clock, starts no goroutines and opens no sockets. The caller passes in the inputs and
// the time and carries out the effects.
package controller

import (
	"log/slog"

	"lugward/internal/api"
	"lugward/internal/autoscaler"
	"lugward/internal/config"
	"lugward/internal/election"
	"lugward/internal/kv"
	"lugward/internal/pipeline"
	"lugward/internal/record"
	"lugward/internal/scheduler"
	"lugward/internal/worker"
)

// Controller is the state machine of one controller. It is not safe for concurrent use:
// the caller passes one input at a time, with times that never decrease.
type Controller struct {
	cfg   *config.Platform
	log   *slog.Logger
	names *pipeline.Names
	components

	leadership   leadership
	leaderView   leaderView
	peers        peerTable
	heartbeats   workerHeartbeats
	forwarding   forwarding
	version      versionPublication
	machineSweep periodic
}

// components are the parts of a controller in other packages, which handle its inputs.
type components struct {
	store      *kv.Client
	election   *election.Election
	jobs       *pipeline.Table
	workers    *worker.Registry
	scheduler  *scheduler.Scheduler
	autoscaler *autoscaler.Autoscaler
	api        *api.Server
}

// handleChange routes a change in the watch cache to the component that owns the key.
// data is nil if the key was deleted.
func (c *Controller) handleChange(key string, data []byte, modRevision uint64) {
	kind, rest := kv.SplitKey(key)
	switch kind {
	case election.KeyPrefix:
		c.election.HandleChange(key, data, modRevision)
	case autoscaler.MachineTypesKeyPrefix, autoscaler.DecommissionKeyPrefix:
		c.autoscaler.HandleChange(kind, rest, data)
	case string(record.KindTerminal):
		c.handleTerminalChange(rest, data, modRevision)
	default:
		c.jobs.HandleChange(record.Kind(kind), rest, data, modRevision)
	}
}
