// Package core routes inputs to the slices. It is a state machine: inputs and
// the time come in, effects go out.
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
	staleAfter = 3 * time.Second
)

// Node is one controller.
type Node struct {
	cfg        *config.Platform
	log        *slog.Logger
	names      *pipeline.Names
	store      *store.Client
	election   *election.Election
	jobs       *pipeline.Table
	workers    *worker.Registry
	scheduler  *scheduler.Scheduler
	autoscaler *autoscaler.Autoscaler
	api        *api.Server
	peers      []*peerState

	clock        func() time.Duration
	leading      bool
	heartbeatAt  event.Time
	roundAt      event.Time
	planAt       event.Time
	packAt       event.Time
	workersAt    event.Time
	cleanAt      event.Time
	loadAt       event.Time
	publishing   bool       // the version's key is being written
	publishAt    event.Time // when it may be tried again
	lastReportAt event.Time // a worker's report, as leader
	yielded      bool       // our last term was given up for want of reports, and no worker has come since
	blocked      []*pipeline.Job
	capacities   []*scheduler.Capacity
	parser       worker.Parser
	work         Work
	waiting      reports
	routes       map[string]*workerRoute
	relayed      map[uint64]pendingRelay
	lastRelay    uint64
}

// New builds a controller. clock bounds decision rounds and may be nil.
func New(cfg *config.Platform, log *slog.Logger, clock func() time.Duration) *Node {
	s := &cfg.Settings
	n := &Node{cfg: cfg, log: log, names: &pipeline.Names{}, clock: clock, routes: map[string]*workerRoute{}, relayed: map[uint64]pendingRelay{}}
	teams := map[int]config.Team{}
	for _, t := range s.Teams {
		teams[n.names.Teams.Index(t.Name)] = t
	}
	// The layout of run records follows from the present limit, which is all
	// that the version in production knows.
	limits := s.State.Lasting()
	n.jobs = pipeline.NewTable(n.names, int(s.State.ValueKB*1024), limits.TxnOps)
	n.jobs.ValueLimit = int(limits.ValueKB * 1024)
	lease := config.Seconds(s.Workers.LeaseS)
	grace := election.GraceFor(config.Seconds(s.Workers.CancelS), lease)
	// A leader answers reports only while its replica is fresher than the
	// grace: where cancellations have little time, an idle one must not age.
	n.store = store.New(cfg.Services.State, store.Limits{TxnOps: limits.TxnOps, RPS: s.State.RPS, WriteRPS: s.State.WriteRPS,
		NextRPS: limits.RPS, NextWriteRPS: limits.WriteRPS, StaleAfter: min(staleAfter, grace/4)}, n.listen)
	n.store.Log = log
	labels := []string{cfg.Label}
	for _, p := range cfg.Seeds {
		labels = append(labels, p.Label)
		n.peers = append(n.peers, &peerState{label: p.Label, lastHeard: -time.Hour})
	}
	sort.Strings(labels)
	n.jobs.Labels = labels
	n.election = election.New(election.Config{Label: cfg.Label, Position: sort.SearchStrings(labels, cfg.Label), TermLease: time.Duration(cfg.Operator.Term.Life),
		WorkerLease: lease, Grace: grace}, n.store, log)
	n.workers = worker.New(n.names, n.jobs, log)
	n.workers.SilentAfter = n.silent()
	n.autoscaler = autoscaler.New(autoscaler.Config{ValueBytes: n.jobs.ValueLimit, Addr: cfg.Services.Cloud, RPS: s.Cloud.RPS, ListLag: config.Seconds(s.Cloud.ListLagS),
		IdleKeep: time.Duration(cfg.Operator.Autoscaler.IdleKeep), Settle: time.Duration(cfg.Operator.Autoscaler.Settle)}, n.names, n.jobs, n.workers, n.store, log)
	n.scheduler = &scheduler.Scheduler{Jobs: n.jobs, Workers: n.workers, MachineTypes: &n.autoscaler.MachineTypes, Teams: teams, ReportInterval: config.Seconds(s.Workers.ReportS), SilentAfter: n.silent()}
	n.api = api.New(api.Config{Label: cfg.Label, Teams: s.Teams, Answer: time.Duration(cfg.Operator.API.Answer),
		ValueBytes: n.jobs.ValueLimit, TxnOps: limits.TxnOps}, n.names, n.jobs, n.store, &n.autoscaler.MachineTypes)
	n.share(0)
	return n
}

// silent is how long a worker may be quiet before nothing more is given to it.
func (n *Node) silent() time.Duration {
	return config.Seconds(2.5*n.cfg.Settings.Workers.ReportS) + time.Second
}

func (n *Node) listen(key string, data []byte, version uint64) {
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
