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
	// watchCacheMaxAge is the age at which the watch cache is refreshed.
	watchCacheMaxAge = 3 * time.Second
	// refreshesPerGracePeriod is the minimum number of refreshes of the watch cache within
	// a grace period. A leader answers heartbeats only while its watch cache is newer
	// than the grace period.
	refreshesPerGracePeriod = 4
	// A machine is unresponsive once no heartbeat has arrived for
	// heartbeatTimeoutIntervals heartbeat intervals plus heartbeatTimeoutMargin.
	heartbeatTimeoutIntervals = 2.5
	heartbeatTimeoutMargin    = time.Second

	bytesPerKB = 1024
)

// New creates a controller. clock measures the duration of scheduling rounds; if it is
// nil, their duration is not limited.
func New(cfg *config.Platform, log *slog.Logger, clock func() time.Duration) *Controller {
	c := &Controller{
		cfg:          cfg,
		log:          log,
		names:        &pipeline.Names{},
		leadership:   newLeadership(roundBudget{clock, time.Duration(cfg.Operator.Scheduler.RoundBudget)}),
		peers:        newPeerTable(cfg.Seeds),
		heartbeats:   newWorkerHeartbeats(cfg.Settings.Resources.MaxConnections),
		forwarding:   newForwarding(cfg.Settings.ClockSkew()),
		version:      newVersionPublication(cfg.Label, sortedLabels(cfg)),
		machineSweep: periodic{interval: machineSweepInterval},
	}
	teams := c.indexTeams()
	c.jobs = c.newJobs()
	c.store = c.newStore()
	c.election = c.newElection()
	c.workers = c.newWorkers()
	c.autoscaler = c.newAutoscaler()
	c.scheduler = c.newScheduler(teams)
	c.api = c.newAPI()
	c.updateRateShare(0)
	return c
}

// indexTeams returns the settings of the teams by team index.
func (c *Controller) indexTeams() map[pipeline.TeamIndex]config.Team {
	teams := map[pipeline.TeamIndex]config.Team{}
	for _, team := range c.cfg.Settings.Teams {
		teams[c.names.Teams.Index(team.Name)] = team
	}
	return teams
}

// newJobs creates the job table. The layout of run records is derived from the current
// value size limit, because the version in production uses no other limit. Record
// sizes and transactions also comply with the announced future limits.
func (c *Controller) newJobs() *pipeline.Table {
	state := &c.cfg.Settings.State
	return pipeline.NewTable(pipeline.Config{
		Names:            c.names,
		LayoutValueBytes: int(state.ValueKB * bytesPerKB),
		ValueLimit:       c.maxValueBytes(),
		TxnOps:           state.Strictest().TxnOps,
		MemoryBytes:      int(c.cfg.Settings.Resources.MemoryMB * bytesPerKB * bytesPerKB),
		ControllerLabels: sortedLabels(c.cfg),
		OnDecodeError:    c.logIgnoredRecord,
	})
}

// logIgnoredRecord logs that a record in the state service cannot be decoded and is
// ignored.
func (c *Controller) logIgnoredRecord(key string, err error) {
	c.log.Warn("ignoring stored record that cannot be decoded", "key", key, "error", err)
}

// newStore creates the client of the state service. The client lowers its rates to the
// announced future limits once these take effect.
func (c *Controller) newStore() *kv.Client {
	state := &c.cfg.Settings.State
	strictest := state.Strictest()
	return kv.New(kv.Config{
		Addr: c.cfg.Services.State,
		Limits: kv.Limits{
			TxnOps:    strictest.TxnOps,
			Rates:     kv.Rates{Requests: state.RPS, Writes: state.WriteRPS},
			NextRates: kv.Rates{Requests: strictest.RPS, Writes: strictest.WriteRPS},
		},
		StaleAfter:      min(watchCacheMaxAge, c.gracePeriod()/refreshesPerGracePeriod),
		ImmutablePrefix: record.TerminalKey(""),
		OnChange:        c.handleChange,
		Logger:          c.log,
	})
}

// newElection creates this controller's participant in the leader election.
func (c *Controller) newElection() *election.Election {
	return election.New(election.Config{
		Label:       c.cfg.Label,
		Position:    sort.SearchStrings(sortedLabels(c.cfg), c.cfg.Label),
		TermLease:   time.Duration(c.cfg.Operator.Term.LeaseDuration),
		WorkerLease: c.workerLease(),
		Grace:       c.gracePeriod(),
		Store:       c.store,
		Logger:      c.log,
	})
}

// newWorkers creates the worker registry.
func (c *Controller) newWorkers() *worker.Registry {
	return worker.New(worker.Config{
		Names:            c.names,
		Jobs:             c.jobs,
		HeartbeatTimeout: c.workerHeartbeatTimeout(),
		Logger:           c.log,
	})
}

// newAutoscaler creates the autoscaler, which provisions and releases machines.
func (c *Controller) newAutoscaler() *autoscaler.Autoscaler {
	settings := &c.cfg.Settings
	return autoscaler.New(autoscaler.Config{
		Names:            c.names,
		Jobs:             c.jobs,
		Workers:          c.workers,
		Store:            c.store,
		Logger:           c.log,
		MaxValueBytes:    c.maxValueBytes(),
		CloudAddr:        c.cfg.Services.Cloud,
		CloudRPS:         settings.Cloud.RPS,
		ListLag:          config.Seconds(settings.Cloud.ListLagS),
		MaxConnections:   settings.Resources.MaxConnections,
		HeartbeatTimeout: c.workerHeartbeatTimeout(),
		IdleTimeout:      time.Duration(c.cfg.Operator.Autoscaler.IdleTimeout),
		SettleTime:       time.Duration(c.cfg.Operator.Autoscaler.ReleaseDelay),
	})
}

// newScheduler creates the scheduler.
func (c *Controller) newScheduler(teams map[pipeline.TeamIndex]config.Team) *scheduler.Scheduler {
	return scheduler.New(scheduler.Config{
		Jobs:              c.jobs,
		Workers:           c.workers,
		MachineTypes:      c.autoscaler.MachineTypes(),
		Teams:             teams,
		HeartbeatInterval: config.Seconds(c.cfg.Settings.Workers.HeartbeatS),
		HeartbeatTimeout:  c.workerHeartbeatTimeout(),
	})
}

// newAPI creates the server for user requests.
func (c *Controller) newAPI() *api.Server {
	return api.New(api.Config{
		Label:          c.cfg.Label,
		Teams:          c.cfg.Settings.Teams,
		RequestTimeout: time.Duration(c.cfg.Operator.API.RequestTimeout),
		ValueBytes:     c.maxValueBytes(),
		TxnOps:         c.cfg.Settings.State.Strictest().TxnOps,
		Names:          c.names,
		Jobs:           c.jobs,
		Store:          c.store,
		MachineTypes:   c.autoscaler.MachineTypes(),
		StartViews:     c.election,
		Logger:         c.log,
	})
}

// maxValueBytes returns the maximum size of a value that this controller writes to the
// state service.
func (c *Controller) maxValueBytes() int {
	return int(c.cfg.Settings.State.Strictest().ValueKB * bytesPerKB)
}

// workerLease returns the duration for which an answered heartbeat renews the lease of
// its worker.
func (c *Controller) workerLease() time.Duration {
	return config.Seconds(c.cfg.Settings.Workers.LeaseS)
}

// gracePeriod returns how long a leader continues to answer workers while it cannot
// reach the state service.
func (c *Controller) gracePeriod() time.Duration {
	return election.GracePeriod(config.Seconds(c.cfg.Settings.Workers.CancelS), c.workerLease())
}

// workerHeartbeatTimeout returns how long after a worker's last heartbeat its machine
// becomes unresponsive. No tasks are placed on an unresponsive machine.
func (c *Controller) workerHeartbeatTimeout() time.Duration {
	return config.Seconds(heartbeatTimeoutIntervals*c.cfg.Settings.Workers.HeartbeatS) + heartbeatTimeoutMargin
}
