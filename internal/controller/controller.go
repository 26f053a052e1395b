// Package controller connects the parts of a controller: it routes each input to the
// part that handles it. It is a state machine without clock, goroutine or
// socket: inputs and the time come in, effects go out.
package controller

import (
	"log/slog"
	"sort"
	"time"

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

const (
	// staleAfter is how old the replica may become before it is read again.
	staleAfter = 3 * time.Second
	// refreshesPerGrace: a leader answers heartbeats only while its replica is
	// fresher than the grace, so the replica is read again after a quarter of it.
	refreshesPerGrace = 4
	// A machine is unresponsive after this many heartbeat intervals and this margin.
	heartbeatTimeoutIntervals = 2.5
	heartbeatTimeoutMargin    = time.Second

	bytesPerKB = 1024
)

// Controller is one controller. It is not safe for concurrent use: the caller hands
// it one input at a time, with times that never decrease.
type Controller struct {
	cfg   *config.Platform
	log   *slog.Logger
	names *pipeline.Names
	clock func() time.Duration // bounds scheduling rounds; nil: they are not bounded

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
	parser       worker.HeartbeatParser
	heartbeats   pendingHeartbeats
	routes       workerRoutes
	relays       pendingRelays
	version      versionPublication
	machineSweep periodic
	counters     counters
}

// New builds a controller. clock bounds decision rounds and may be nil.
func New(cfg *config.Platform, log *slog.Logger, clock func() time.Duration) *Controller {
	c := &Controller{
		cfg:          cfg,
		log:          log,
		names:        &pipeline.Names{},
		clock:        clock,
		leadership:   leadership{schedule: newLeaderSchedule()},
		peers:        newPeerTable(cfg.Seeds),
		heartbeats:   newPendingHeartbeats(),
		relays:       newPendingRelays(),
		version:      newVersionPublication(cfg.Label, sortedLabels(cfg)),
		machineSweep: periodic{interval: machineSweepInterval},
	}
	teams := c.indexTeams()
	// The layout of run records follows from the present limit, which is all
	// that the version in production knows; sizes and rates keep within the
	// limits to come as well.
	limits := cfg.Settings.State.Lasting()
	c.jobs = pipeline.NewTable(pipeline.Config{
		Names:            c.names,
		LayoutValueBytes: int(cfg.Settings.State.ValueKB * bytesPerKB),
		ValueLimit:       int(limits.ValueKB * bytesPerKB),
		TxnOps:           limits.TxnOps,
		ControllerLabels: sortedLabels(cfg),
		OnRefusedRecord:  func(key string, err error) { log.Warn("stored record refused", "key", key, "err", err) },
	})
	c.connectState(limits)
	c.connectSite(teams)
	c.api = api.New(api.Config{
		Label:         cfg.Label,
		Teams:         cfg.Settings.Teams,
		AnswerTimeout: time.Duration(cfg.Operator.API.Answer),
		ValueBytes:    c.jobs.ValueLimit(),
		TxnOps:        limits.TxnOps,
		Names:         c.names,
		Jobs:          c.jobs,
		Store:         c.store,
		MachineTypes:  c.autoscaler.MachineTypes(),
	})
	c.shareRates(0)
	return c
}

// indexTeams returns the settings of the teams by their index.
func (c *Controller) indexTeams() map[int]config.Team {
	teams := map[int]config.Team{}
	for _, team := range c.cfg.Settings.Teams {
		teams[c.names.Teams.Index(team.Name)] = team
	}
	return teams
}

// connectState builds the client of the state service and, on it, the election.
func (c *Controller) connectState(limits config.StateLimits) {
	state := &c.cfg.Settings.State
	workers := &c.cfg.Settings.Workers
	workerLease := config.Seconds(workers.LeaseS)
	grace := election.GracePeriod(config.Seconds(workers.CancelS), workerLease)
	c.store = kv.New(kv.Config{
		Addr: c.cfg.Services.State,
		Limits: kv.Limits{
			TxnOps:    limits.TxnOps,
			Rates:     kv.Rates{Requests: state.RPS, Writes: state.WriteRPS},
			NextRates: kv.Rates{Requests: limits.RPS, Writes: limits.WriteRPS},
		},
		StaleAfter:      min(staleAfter, grace/refreshesPerGrace),
		ImmutablePrefix: record.TerminalKey(""),
		OnChange:        c.handleChange,
		Logger:          c.log,
	})
	c.election = election.New(election.Config{
		Label:       c.cfg.Label,
		Position:    sort.SearchStrings(sortedLabels(c.cfg), c.cfg.Label),
		TermLease:   time.Duration(c.cfg.Operator.Term.Life),
		WorkerLease: workerLease,
		Grace:       grace,
		Store:       c.store,
		Logger:      c.log,
	})
}

// connectSite builds the parts that deal with machines: the registry of
// workers, the autoscaler and the scheduler.
func (c *Controller) connectSite(teams map[int]config.Team) {
	settings := &c.cfg.Settings
	c.workers = worker.New(worker.Config{
		Names:            c.names,
		Jobs:             c.jobs,
		HeartbeatTimeout: c.workerHeartbeatTimeout(),
		Log:              c.log,
	})
	c.autoscaler = autoscaler.New(autoscaler.Config{
		Names:            c.names,
		Jobs:             c.jobs,
		Workers:          c.workers,
		Store:            c.store,
		Log:              c.log,
		MaxValueBytes:    c.jobs.ValueLimit(),
		CloudAddr:        c.cfg.Services.Cloud,
		CloudRPS:         settings.Cloud.RPS,
		ListLag:          config.Seconds(settings.Cloud.ListLagS),
		MaxConnections:   settings.Resources.MaxConnections,
		HeartbeatTimeout: c.workerHeartbeatTimeout(),
		IdleTimeout:      time.Duration(c.cfg.Operator.Autoscaler.IdleKeep),
		SettleTime:       time.Duration(c.cfg.Operator.Autoscaler.Settle),
	})
	c.scheduler = scheduler.New(scheduler.Config{
		Jobs:              c.jobs,
		Workers:           c.workers,
		MachineTypes:      c.autoscaler.MachineTypes(),
		Teams:             teams,
		HeartbeatInterval: config.Seconds(settings.Workers.HeartbeatS),
		HeartbeatTimeout:  c.workerHeartbeatTimeout(),
	})
}

// workerHeartbeatTimeout is how long a worker may send no heartbeat before nothing more
// is placed on its machine.
func (c *Controller) workerHeartbeatTimeout() time.Duration {
	return config.Seconds(heartbeatTimeoutIntervals*c.cfg.Settings.Workers.HeartbeatS) + heartbeatTimeoutMargin
}

// handleChange routes a change of the replica to the part that owns the key.
func (c *Controller) handleChange(key string, data []byte, version uint64) {
	kind, rest := kv.SplitKey(key)
	switch kind {
	case election.KeyPrefix:
		c.election.HandleChange(key, data, version)
	case autoscaler.MachineTypesKeyPrefix, autoscaler.DecommissionKeyPrefix:
		c.autoscaler.HandleChange(kind, rest, data)
	default:
		c.jobs.HandleChange(record.Kind(kind), rest, data, version)
	}
}
