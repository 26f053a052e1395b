// Package core connects the parts of a controller: it routes each input to the
// part that handles it. It is a state machine without clock, goroutine or
// socket: inputs and the time come in, effects go out.
package core

import (
	"log/slog"
	"sort"
	"time"

	"lugward/internal/api"
	"lugward/internal/autoscaler"
	"lugward/internal/config"
	"lugward/internal/election"
	"lugward/internal/event"
	"lugward/internal/pipeline"
	"lugward/internal/scheduler"
	"lugward/internal/store"
	"lugward/internal/worker"
)

const (
	// staleAfter is how old the replica may become before it is read again.
	staleAfter = 3 * time.Second
	// stalePartOfGrace: a leader answers reports only while its replica is
	// fresher than the grace, so the replica is read again after a quarter of it.
	stalePartOfGrace = 4
	// A machine is silent after this many report intervals and this margin.
	silentReportIntervals = 2.5
	silentMargin          = time.Second

	bytesPerKB = 1024
)

// Node is one controller. It is not safe for concurrent use: the caller hands
// it one input at a time, with times that never decrease.
type Node struct {
	cfg   *config.Platform
	log   *slog.Logger
	names *pipeline.Names
	clock func() time.Duration // bounds decision rounds; nil: they are not bounded

	store      *store.Client
	election   *election.Election
	jobs       *pipeline.Table
	workers    *worker.Registry
	scheduler  *scheduler.Scheduler
	autoscaler *autoscaler.Autoscaler
	api        *api.Server

	peers       []*peerState
	heartbeatAt event.Time // of our last heartbeat

	machinesSweptAt event.Time // when machines that are gone were last forgotten

	leadership leadership
	version    versionPublication
	waiting    reports
	relays     relays
	parser     worker.Parser
	work       Work
}

// New builds a controller. clock bounds decision rounds and may be nil.
func New(cfg *config.Platform, log *slog.Logger, clock func() time.Duration) *Node {
	n := &Node{
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
	n.jobs.Labels = sortedLabels(cfg)
	n.connectState(limits)
	n.connectSite(teams)
	n.api = api.New(api.Config{
		Label:      cfg.Label,
		Teams:      cfg.Settings.Teams,
		Answer:     time.Duration(cfg.Operator.API.Answer),
		ValueBytes: n.jobs.ValueLimit,
		TxnOps:     limits.TxnOps,
	}, n.names, n.jobs, n.store, &n.autoscaler.MachineTypes)
	n.share(0)
	return n
}

// indexTeams returns the settings of the teams by their index.
func (n *Node) indexTeams() map[int]config.Team {
	teams := map[int]config.Team{}
	for _, team := range n.cfg.Settings.Teams {
		teams[n.names.Teams.Index(team.Name)] = team
	}
	return teams
}

// connectState builds the client of the state service and, on it, the election.
func (n *Node) connectState(limits config.StateLimits) {
	state := &n.cfg.Settings.State
	workers := &n.cfg.Settings.Workers
	workerLease := config.Seconds(workers.LeaseS)
	grace := election.GraceFor(config.Seconds(workers.CancelS), workerLease)
	n.store = store.New(n.cfg.Services.State, store.Limits{
		TxnOps:       limits.TxnOps,
		RPS:          state.RPS,
		WriteRPS:     state.WriteRPS,
		NextRPS:      limits.RPS,
		NextWriteRPS: limits.WriteRPS,
		StaleAfter:   min(staleAfter, grace/stalePartOfGrace),
		Permanent:    pipeline.FinalKey + "/",
	}, n.onChange)
	n.store.Log = n.log
	n.election = election.New(election.Config{
		Label:       n.cfg.Label,
		Position:    sort.SearchStrings(n.jobs.Labels, n.cfg.Label),
		TermLease:   time.Duration(n.cfg.Operator.Term.Life),
		WorkerLease: workerLease,
		Grace:       grace,
	}, n.store, n.log)
}

// connectSite builds the parts that deal with machines: the registry of
// workers, the autoscaler and the scheduler.
func (n *Node) connectSite(teams map[int]config.Team) {
	settings := &n.cfg.Settings
	n.workers = worker.New(n.names, n.jobs, n.log)
	n.workers.SilentAfter = n.silentAfter()
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
		Jobs:           n.jobs,
		Workers:        n.workers,
		MachineTypes:   &n.autoscaler.MachineTypes,
		Teams:          teams,
		ReportInterval: config.Seconds(settings.Workers.ReportS),
		SilentAfter:    n.silentAfter(),
	}
}

// silentAfter is how long a worker may send no report before nothing more is
// placed on its machine.
func (n *Node) silentAfter() time.Duration {
	return config.Seconds(silentReportIntervals*n.cfg.Settings.Workers.ReportS) + silentMargin
}

// onChange routes a change of the replica to the part that owns the key.
func (n *Node) onChange(key string, data []byte, version uint64) {
	kind, rest := store.SplitKey(key)
	switch kind {
	case election.Kind:
		n.election.Listen(key, data, version)
	case autoscaler.Kind, autoscaler.RetireKind:
		n.autoscaler.Listen(kind, rest, data, version)
	default:
		n.jobs.Listen(kind, rest, data, version)
	}
}
