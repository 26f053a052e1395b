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
	"lugward/internal/event"
	"lugward/internal/kv"
	"lugward/internal/pipeline"
	"lugward/internal/scheduler"
	"lugward/internal/worker"
)

const (
	// staleAfter is how old the replica may become before it is read again.
	staleAfter = 3 * time.Second
	// refreshesPerGrace: a leader answers reports only while its replica is
	// fresher than the grace, so the replica is read again after a quarter of it.
	refreshesPerGrace = 4
	// A machine is silent after this many report intervals and this margin.
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
	clock func() time.Duration // bounds decision rounds; nil: they are not bounded

	store      *kv.Client
	election   *election.Election
	jobs       *pipeline.Table
	workers    *worker.Registry
	scheduler  *scheduler.Scheduler
	autoscaler *autoscaler.Autoscaler
	api        *api.Server

	peers           []*peerState
	peerHeartbeatAt event.Time // of our last heartbeat

	machinesSweptAt event.Time // when machines that are gone were last forgotten

	leadership leadership
	version    versionPublication
	pending    pendingHeartbeats
	relays     relays
	parser     worker.HeartbeatParser
	work       WorkCounters
}

// New builds a controller. clock bounds decision rounds and may be nil.
func New(cfg *config.Platform, log *slog.Logger, clock func() time.Duration) *Controller {
	n := &Controller{
		cfg:    cfg,
		log:    log,
		names:  &pipeline.Names{},
		clock:  clock,
		relays: newRelays(),
	}
	teams := n.indexTeams()
	// The layout of run records follows from the present limit, which is all
	// that the version in production knows; sizes and rates keep within the
	// limits to come as well.
	limits := cfg.Settings.State.Lasting()
	n.jobs = pipeline.NewTable(n.names, int(cfg.Settings.State.ValueKB*bytesPerKB), limits.TxnOps)
	n.jobs.ValueLimit = int(limits.ValueKB * bytesPerKB)
	n.peers = newPeers(cfg)
	n.jobs.ControllerLabels = sortedLabels(cfg)
	n.connectState(limits)
	n.connectSite(teams)
	n.api = api.New(api.Config{
		Label:      cfg.Label,
		Teams:      cfg.Settings.Teams,
		Answer:     time.Duration(cfg.Operator.API.Answer),
		ValueBytes: n.jobs.ValueLimit,
		TxnOps:     limits.TxnOps,
	}, n.names, n.jobs, n.store, &n.autoscaler.MachineTypes)
	n.shareRates(0)
	return n
}

// indexTeams returns the settings of the teams by their index.
func (n *Controller) indexTeams() map[int]config.Team {
	teams := map[int]config.Team{}
	for _, team := range n.cfg.Settings.Teams {
		teams[n.names.Teams.Index(team.Name)] = team
	}
	return teams
}

// connectState builds the client of the state service and, on it, the election.
func (n *Controller) connectState(limits config.StateLimits) {
	state := &n.cfg.Settings.State
	workers := &n.cfg.Settings.Workers
	workerLease := config.Seconds(workers.LeaseS)
	grace := election.GracePeriod(config.Seconds(workers.CancelS), workerLease)
	n.store = kv.New(n.cfg.Services.State, kv.Limits{
		TxnOps:          limits.TxnOps,
		RPS:             state.RPS,
		WriteRPS:        state.WriteRPS,
		NextRPS:         limits.RPS,
		NextWriteRPS:    limits.WriteRPS,
		StaleAfter:      min(staleAfter, grace/refreshesPerGrace),
		ImmutablePrefix: pipeline.TerminalKey + "/",
	}, n.onChange)
	n.store.Log = n.log
	n.election = election.New(election.Config{
		Label:       n.cfg.Label,
		Position:    sort.SearchStrings(n.jobs.ControllerLabels, n.cfg.Label),
		TermLease:   time.Duration(n.cfg.Operator.Term.Life),
		WorkerLease: workerLease,
		Grace:       grace,
	}, n.store, n.log)
}

// connectSite builds the parts that deal with machines: the registry of
// workers, the autoscaler and the scheduler.
func (n *Controller) connectSite(teams map[int]config.Team) {
	settings := &n.cfg.Settings
	n.workers = worker.New(n.names, n.jobs, n.log)
	n.workers.HeartbeatTimeout = n.workerHeartbeatTimeout()
	n.autoscaler = autoscaler.New(autoscaler.Config{
		ValueBytes:     n.jobs.ValueLimit,
		Addr:           n.cfg.Services.Cloud,
		RPS:            settings.Cloud.RPS,
		ListLag:        config.Seconds(settings.Cloud.ListLagS),
		MaxConnections: settings.Resources.MaxConnections,
		IdleKeep:       time.Duration(n.cfg.Operator.Autoscaler.IdleKeep),
		Settle:         time.Duration(n.cfg.Operator.Autoscaler.Settle),
	}, n.names, n.jobs, n.workers, n.store, n.log)
	n.scheduler = &scheduler.Scheduler{
		Jobs:              n.jobs,
		Workers:           n.workers,
		MachineTypes:      &n.autoscaler.MachineTypes,
		Teams:             teams,
		HeartbeatInterval: config.Seconds(settings.Workers.ReportS),
		HeartbeatTimeout:  n.workerHeartbeatTimeout(),
	}
}

// workerHeartbeatTimeout is how long a worker may send no report before nothing more is
// placed on its machine.
func (n *Controller) workerHeartbeatTimeout() time.Duration {
	return config.Seconds(heartbeatTimeoutIntervals*n.cfg.Settings.Workers.ReportS) + heartbeatTimeoutMargin
}

// onChange routes a change of the replica to the part that owns the key.
func (n *Controller) onChange(key string, data []byte, version uint64) {
	kind, rest := kv.SplitKey(key)
	switch kind {
	case election.KeyPrefix:
		n.election.HandleChange(key, data, version)
	case autoscaler.TypesKeyPrefix, autoscaler.DecommissionKeyPrefix:
		n.autoscaler.HandleChange(kind, rest, data, version)
	default:
		n.jobs.HandleChange(kind, rest, data, version)
	}
}
