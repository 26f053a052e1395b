// Package autoscaler scales the cluster out and in. It fetches the machine types from the
// cloud, provisions machines for tasks that do not fit on the existing machines, and
// decommissions machines that are unused, lost or unreachable.
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

// Prefixes of the autoscaler's keys in the state service.
const (
	MachineTypesKeyPrefix = "c" // c/types holds the machine types of the cloud
	DecommissionKeyPrefix = "h" // h/<machine> exists while the machine is being decommissioned
)

const machineTypesKey = MachineTypesKeyPrefix + "/types"

// scanInterval is the interval between scans of all machines.
const scanInterval = 500 * time.Millisecond

// Config holds the dependencies and settings of an Autoscaler.
type Config struct {
	Names   *pipeline.Names
	Jobs    *pipeline.Table
	Workers *worker.Registry
	Store   *kv.Client
	Logger  *slog.Logger

	MaxValueBytes    int           // largest value that the state service accepts
	CloudAddr        string        // host and port of the cloud API
	CloudRPS         float64       // requests per second that the cloud accepts
	ListLag          time.Duration // maximum staleness of the cloud's machine list
	MaxConnections   int           // maximum number of open sockets of this controller
	HeartbeatTimeout time.Duration // a machine is unresponsive if its last heartbeat is older
	IdleTimeout      time.Duration // idle machines are decommissioned after this time
	SettleTime       time.Duration // delay after the start of a term before unused and lost machines are decommissioned
}

// Autoscaler provisions and releases the machines of the cloud. Every controller watches
// the persisted machine types and decommissions. Everything else is done by the leader
// only. An Autoscaler is not safe for concurrent use.
type Autoscaler struct {
	cloud         *cloudClient
	catalog       *machineTypeCatalog
	booting       *bootingMachines
	list          *machineListReader
	provisioner   *provisioner
	decommissions *decommissions
	partitions    *partitionDetector
	announcer     *tokenAnnouncer
	planner       *planner
	scaleIn       *scaleIn

	settleTime  time.Duration // delay after termBeganAt before unused and lost machines are decommissioned
	termBeganAt event.Time
	scannedAt   event.Time // time of the last scan of all machines
}

// New returns an Autoscaler without any machine types.
func New(cfg Config) *Autoscaler {
	a := &Autoscaler{settleTime: cfg.SettleTime}
	a.cloud = &cloudClient{addr: cfg.CloudAddr, rps: cfg.CloudRPS}
	a.catalog = &machineTypeCatalog{
		names:         cfg.Names,
		jobs:          cfg.Jobs,
		store:         cfg.Store,
		cloud:         a.cloud,
		log:           cfg.Logger,
		maxValueBytes: cfg.MaxValueBytes,
	}
	a.booting = &bootingMachines{
		catalog:   a.catalog,
		bootTimes: &bootTimes{catalog: a.catalog, histories: map[pipeline.MachineTypeIndex]*bootHistory{}},
	}
	a.connectCloud(cfg)
	a.connectWorkers(cfg)
	a.connectScaling(cfg)
	a.Reset()
	return a
}

// connectCloud creates the components that provision, release and list machines.
func (a *Autoscaler) connectCloud(cfg Config) {
	a.provisioner = &provisioner{
		cloud:   a.cloud,
		names:   cfg.Names,
		workers: cfg.Workers,
		booting: a.booting,
		log:     cfg.Logger,
	}
	a.decommissions = &decommissions{
		store:       cfg.Store,
		cloud:       a.cloud,
		workers:     cfg.Workers,
		booting:     a.booting,
		provisioner: a.provisioner,
		persisted:   map[string]bool{},
	}
	handler := &listedMachineHandler{
		names:         cfg.Names,
		workers:       cfg.Workers,
		booting:       a.booting,
		decommissions: a.decommissions,
		listLag:       cfg.ListLag,
	}
	a.list = &machineListReader{cloud: a.cloud, lag: cfg.ListLag, handleMachine: handler.handle}
}

// connectWorkers creates the components that monitor the connections to the machines.
func (a *Autoscaler) connectWorkers(cfg Config) {
	a.partitions = &partitionDetector{
		names:            cfg.Names,
		workers:          cfg.Workers,
		booting:          a.booting,
		log:              cfg.Logger,
		heartbeatTimeout: cfg.HeartbeatTimeout,
	}
	a.announcer = &tokenAnnouncer{
		workers:     cfg.Workers,
		booting:     a.booting,
		maxInFlight: maxAnnouncements(cfg.MaxConnections),
	}
}

// connectScaling creates the components that decide when to scale out and in.
func (a *Autoscaler) connectScaling(cfg Config) {
	a.planner = &planner{
		names:       cfg.Names,
		workers:     cfg.Workers,
		catalog:     a.catalog,
		bootTimes:   a.booting.bootTimes,
		booting:     a.booting,
		partitions:  a.partitions,
		provisioner: a.provisioner,
		idleTimeout: cfg.IdleTimeout,
	}
	a.scaleIn = &scaleIn{
		jobs:             cfg.Jobs,
		workers:          cfg.Workers,
		catalog:          a.catalog,
		bootTimes:        a.booting.bootTimes,
		booting:          a.booting,
		partitions:       a.partitions,
		decommissions:    a.decommissions,
		log:              cfg.Logger,
		heartbeatTimeout: cfg.HeartbeatTimeout,
		idleTimeout:      cfg.IdleTimeout,
	}
}

// Reset clears all state that only the leader maintains.
func (a *Autoscaler) Reset() {
	a.catalog.reset()
	a.cloud.reset()
	a.list.reset()
	a.provisioner.reset()
	a.decommissions.reset()
	a.booting.reset()
	a.partitions.reset()
	a.announcer.reset()
	a.scannedAt = 0
}

// BeginTerm resets the autoscaler for a new term of this controller with the given
// fencing token.
func (a *Autoscaler) BeginTerm(now event.Time, fencingToken uint64) {
	a.Reset()
	a.termBeganAt = now
	a.list.beginTerm(now, fencingToken)
}

// HandleChange handles a change of a key whose prefix is MachineTypesKeyPrefix or
// DecommissionKeyPrefix. suffix is the part of the key after the prefix and the slash.
// data is nil if the key was deleted.
func (a *Autoscaler) HandleChange(prefix, suffix string, data []byte) {
	switch prefix {
	case DecommissionKeyPrefix:
		a.decommissions.handleChange(suffix, data)
	case MachineTypesKeyPrefix:
		a.catalog.handleChange(data)
	}
}

// HandleCallResult handles the outcome of a call. It reports whether the call was a
// pending request of the autoscaler.
func (a *Autoscaler) HandleCallResult(now event.Time, result event.CallResult) bool {
	return a.cloud.handleResult(now, result)
}

// Tick runs the leader's periodic work whose interval has passed: it refreshes the
// machine types, reads the machine list, repeats failed requests, announces the fencing
// token, releases decommissioned machines and scans all machines. All writes are
// conditional on term.
func (a *Autoscaler) Tick(now event.Time, leadership worker.Leadership, term kv.Compare, out *event.Effects) {
	a.catalog.refreshIfDue(now, &term, out)
	a.provisioner.sendDueRetries(now, out)
	a.decommissions.releaseIfDue(now, term, out)
	a.list.requestPageIfDue(now, out)
	if a.announcer.incomplete {
		a.announcer.announce(now, leadership, out)
	}
	if now-a.scannedAt >= scanInterval {
		a.scannedAt = now
		a.scanMachines(&scan{now: now, leadership: leadership, term: term}, out)
	}
}

// scanMachines updates the state of all machines and decommissions those that are
// unused, lost, unresponsive or unreachable.
func (a *Autoscaler) scanMachines(scan *scan, out *event.Effects) {
	a.scaleIn.updateUsage(scan)
	scan.zones = a.partitions.runningByZone()
	a.partitions.update(scan.zones, scan.now)
	a.announcer.announce(scan.now, scan.leadership, out)
	a.scaleIn.checkBooting(scan)
	if scan.now-a.termBeganAt < a.settleTime {
		return
	}
	a.scaleIn.decommissionUnresponsive(scan)
	a.scaleIn.decommissionUnused(scan)
}

// Plan provisions machines for the tasks of blocked jobs, which could not be placed. It
// forecasts the capacity at the time when a machine requested now would be running:
// tasks that end by then free their capacity, evicted tasks need capacity again, and
// booting machines accept tasks. For the remaining tasks Plan requests machines from the
// pools with the lowest cost per task. Nothing is provisioned before the cloud's machine
// list has been read in this term.
func (a *Autoscaler) Plan(now event.Time, blocked []*pipeline.Job, s *scheduler.Scheduler, fencingToken uint64, out *event.Effects) {
	if !a.list.upToDate {
		a.list.expedite(now)
		return
	}
	plan := a.planner.newPlan(now, s)
	for _, job := range plan.withEvicting(blocked) {
		plan.addJob(job)
	}
	a.scaleIn.decommissionUnneeded(plan.forecast)
	for _, pool := range sortedPools(plan.needed) {
		if !a.cloud.ready(now) {
			return
		}
		a.provisioner.provision(pool, min(plan.needed[pool], maxProvisionBatch), fencingToken, out)
	}
}

// RefreshMachineTypesIfDue requests the machine types from the cloud if the refresh interval
// has passed. Any controller may call it until the machine types are known.
func (a *Autoscaler) RefreshMachineTypesIfDue(now event.Time, out *event.Effects) {
	a.catalog.refreshIfDue(now, nil, out)
}

// MachineTypes returns the most recent machine types of the cloud. The list is updated in
// place, so callers may keep the pointer.
func (a *Autoscaler) MachineTypes() *scheduler.MachineTypes { return &a.catalog.types }

// ReplanRequested reports whether a response of the cloud requires a new plan before the
// next regular one.
func (a *Autoscaler) ReplanRequested() bool { return a.provisioner.replanRequested }

// ConsumeReplanRequest reports whether a new plan is required and clears the request. The
// caller must call Plan if it returns true.
func (a *Autoscaler) ConsumeReplanRequest() bool {
	requested := a.provisioner.replanRequested
	a.provisioner.replanRequested = false
	return requested
}

// Released reports whether the named machine was released in this term. A heartbeat from
// it that arrives afterwards was sent before the release.
func (a *Autoscaler) Released(machine string) bool {
	_, released := a.decommissions.releasedAt(machine)
	return released
}

// IsBooting reports whether the machine with the given index has been provisioned but
// has not registered yet.
func (a *Autoscaler) IsBooting(machine pipeline.MachineIndex) bool {
	return a.booting.get(machine) != nil
}

// HasUnregisteredMachines reports whether the cloud lists as running any machine that has
// not sent a heartbeat to this controller.
func (a *Autoscaler) HasUnregisteredMachines() bool { return a.booting.anyRunning() }
