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
	// staleAfter is how old the watch cache may become before it is read again.
	staleAfter = 3 * time.Second
	// refreshesPerGrace: a leader answers heartbeats only while its watch cache is
	// fresher than the grace, so the watch cache is read again after a quarter of it.
	refreshesPerGrace = 4
	// A machine is unresponsive after this many heartbeat intervals and this margin.
	heartbeatTimeoutIntervals = 2.5
	heartbeatTimeoutMargin    = time.Second

	bytesPerKB = 1024
)

// New builds a controller. clock bounds scheduling rounds and may be nil: they are not
// bounded then.
func New(cfg *config.Platform, log *slog.Logger, clock func() time.Duration) *Controller {
	c := &Controller{
		cfg:          cfg,
		log:          log,
		names:        &pipeline.Names{},
		leadership:   newLeadership(roundBudget{clock, time.Duration(cfg.Operator.Scheduler.Budget)}),
		peers:        newPeerTable(cfg.Seeds),
		heartbeats:   newWorkerHeartbeats(cfg.Settings.Resources.MaxConnections),
		forwarding:   newForwarding(),
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
	c.shareRates(0)
	return c
}

// indexTeams returns the settings of the teams by their index.
func (c *Controller) indexTeams() map[pipeline.TeamIndex]config.Team {
	teams := map[pipeline.TeamIndex]config.Team{}
	for _, team := range c.cfg.Settings.Teams {
		teams[c.names.Teams.Index(team.Name)] = team
	}
	return teams
}

// newJobs builds the table of jobs. The layout of run records follows from the present
// limit on values, which is all that the version in production knows; sizes and rates
// keep within the limits to come as well.
func (c *Controller) newJobs() *pipeline.Table {
	state := &c.cfg.Settings.State
	return pipeline.NewTable(pipeline.Config{
		Names:            c.names,
		LayoutValueBytes: int(state.ValueKB * bytesPerKB),
		ValueLimit:       c.maxValueBytes(),
		TxnOps:           state.Lasting().TxnOps,
		ControllerLabels: sortedLabels(c.cfg),
		OnRefusedRecord:  c.logIgnoredRecord,
	})
}

// logIgnoredRecord logs that a stored record was ignored, as it cannot be decoded.
func (c *Controller) logIgnoredRecord(key string, err error) {
	c.log.Warn("stored record ignored", "key", key, "error", err)
}

// newStore builds the client of the state service.
func (c *Controller) newStore() *kv.Client {
	state := &c.cfg.Settings.State
	lasting := state.Lasting()
	return kv.New(kv.Config{
		Addr: c.cfg.Services.State,
		Limits: kv.Limits{
			TxnOps:    lasting.TxnOps,
			Rates:     kv.Rates{Requests: state.RPS, Writes: state.WriteRPS},
			NextRates: kv.Rates{Requests: lasting.RPS, Writes: lasting.WriteRPS},
		},
		StaleAfter:      min(staleAfter, c.gracePeriod()/refreshesPerGrace),
		ImmutablePrefix: record.TerminalKey(""),
		OnChange:        c.handleChange,
		Logger:          c.log,
	})
}

// newElection builds our part in the election of the leader.
func (c *Controller) newElection() *election.Election {
	return election.New(election.Config{
		Label:       c.cfg.Label,
		Position:    sort.SearchStrings(sortedLabels(c.cfg), c.cfg.Label),
		TermLease:   time.Duration(c.cfg.Operator.Term.Life),
		WorkerLease: c.workerLease(),
		Grace:       c.gracePeriod(),
		Store:       c.store,
		Logger:      c.log,
	})
}

// newWorkers builds the registry of workers.
func (c *Controller) newWorkers() *worker.Registry {
	return worker.New(worker.Config{
		Names:            c.names,
		Jobs:             c.jobs,
		HeartbeatTimeout: c.workerHeartbeatTimeout(),
		Logger:           c.log,
	})
}

// newAutoscaler builds the part that provisions and releases machines.
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
		IdleTimeout:      time.Duration(c.cfg.Operator.Autoscaler.IdleKeep),
		SettleTime:       time.Duration(c.cfg.Operator.Autoscaler.Settle),
	})
}

// newScheduler builds the scheduler.
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

// newAPI builds the server for the requests of users.
func (c *Controller) newAPI() *api.Server {
	return api.New(api.Config{
		Label:         c.cfg.Label,
		Teams:         c.cfg.Settings.Teams,
		AnswerTimeout: time.Duration(c.cfg.Operator.API.Answer),
		ValueBytes:    c.maxValueBytes(),
		TxnOps:        c.cfg.Settings.State.Lasting().TxnOps,
		Names:         c.names,
		Jobs:          c.jobs,
		Store:         c.store,
		MachineTypes:  c.autoscaler.MachineTypes(),
	})
}

// maxValueBytes is the largest value that we write to the state service.
func (c *Controller) maxValueBytes() int {
	return int(c.cfg.Settings.State.Lasting().ValueKB * bytesPerKB)
}

// workerLease is the lease that an answered heartbeat gives a worker.
func (c *Controller) workerLease() time.Duration {
	return config.Seconds(c.cfg.Settings.Workers.LeaseS)
}

// gracePeriod is how long a leader goes on to answer workers without the state service.
func (c *Controller) gracePeriod() time.Duration {
	return election.GracePeriod(config.Seconds(c.cfg.Settings.Workers.CancelS), c.workerLease())
}

// workerHeartbeatTimeout is how long a worker may send no heartbeat before nothing more
// is placed on its machine.
func (c *Controller) workerHeartbeatTimeout() time.Duration {
	return config.Seconds(heartbeatTimeoutIntervals*c.cfg.Settings.Workers.HeartbeatS) + heartbeatTimeoutMargin
}
