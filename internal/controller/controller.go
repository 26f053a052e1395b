// Package controller connects the parts of a controller: it routes each input to the
// part that handles it. It is a state machine without clock, goroutine or
// socket: inputs and the time come in, effects go out.
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

// Controller is one controller. It is not safe for concurrent use: the caller hands
// it one input at a time, with times that never decrease.
type Controller struct {
	cfg   *config.Platform
	log   *slog.Logger
	names *pipeline.Names

	// The parts that inputs are routed to.
	store      *kv.Client
	election   *election.Election
	jobs       *pipeline.Table
	workers    *worker.Registry
	scheduler  *scheduler.Scheduler
	autoscaler *autoscaler.Autoscaler
	api        *api.Server

	leadership   leadership
	peers        peerTable
	heartbeats   workerHeartbeats
	forwarding   forwarding
	version      versionPublication
	machineSweep periodic
}

// handleChange routes a change of the watch cache to the part that owns the key. data is
// nil when the key was deleted.
func (c *Controller) handleChange(key string, data []byte, modRevision uint64) {
	kind, rest := kv.SplitKey(key)
	switch kind {
	case election.KeyPrefix:
		c.election.HandleChange(key, data, modRevision)
	case autoscaler.MachineTypesKeyPrefix, autoscaler.DecommissionKeyPrefix:
		c.autoscaler.HandleChange(kind, rest, data)
	default:
		c.jobs.HandleChange(record.Kind(kind), rest, data, modRevision)
	}
}
