// Package autoscaler scales the machines of the cloud out and in: it learns the machine
// types, provisions machines for tasks that find no capacity, and decommissions
// machines that nothing can use.
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
	MachineTypesKeyPrefix = "c" // c/types: the machine types as last seen
	DecommissionKeyPrefix = "h" // h/<machine>: gets no more tasks and is to be released
)

const machineTypesKey = MachineTypesKeyPrefix + "/types"

// scanInterval is the time between two scans of all machines.
const scanInterval = 500 * time.Millisecond

// Config holds the dependencies and the settings of an Autoscaler.
type Config struct {
	Names   *pipeline.Names
	Jobs    *pipeline.Table
	Workers *worker.Registry
	Store   *kv.Client
	Logger  *slog.Logger

	MaxValueBytes    int           // size of the largest value that the state service accepts
	CloudAddr        string        // host and port of the cloud's API
	CloudRPS         float64       // requests per second that the cloud accepts
	ListLag          time.Duration // by which the cloud's machine list may be out of date
	MaxConnections   int           // sockets that this controller may have open
	HeartbeatTimeout time.Duration // a machine without a heartbeat for longer is unresponsive
	IdleTimeout      time.Duration // an idle machine is released after this time
	SettleTime       time.Duration // after a term begins no machine is released for this long
}

// Autoscaler provisions and releases the machines of the cloud. All controllers follow
// the stored machine types and decommissions; everything else is the leader's. It is
// not safe for concurrent use.
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

	settleTime  time.Duration // after termBeganAt no machine is released for this long
	termBeganAt event.Time
	scannedAt   event.Time // when all machines were last looked at
}

// New returns an autoscaler that knows no machine types yet.
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

// connectCloud builds the parts that provision, release and list machines.
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
		stored:      map[string]bool{},
	}
	listed := &listedMachines{
		names:         cfg.Names,
		workers:       cfg.Workers,
		booting:       a.booting,
		decommissions: a.decommissions,
		listLag:       cfg.ListLag,
	}
	a.list = &machineListReader{cloud: a.cloud, lag: cfg.ListLag, observe: listed.observe}
}

// connectWorkers builds the parts that watch the connection to the machines.
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

// connectScaling builds the parts that decide when to scale out and in.
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

// Reset drops what only a leader knows.
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

// BeginTerm starts a term with the given fencing token.
func (a *Autoscaler) BeginTerm(now event.Time, fencingToken uint64) {
	a.Reset()
	a.termBeganAt = now
	a.list.beginTerm(now, fencingToken)
}

// HandleChange takes a change of a key with the prefix MachineTypesKeyPrefix or
// DecommissionKeyPrefix. rest is what follows the prefix, data is nil if the key was
// deleted.
func (a *Autoscaler) HandleChange(prefix, rest string, data []byte) {
	switch prefix {
	case DecommissionKeyPrefix:
		a.decommissions.handleChange(rest, data)
	case MachineTypesKeyPrefix:
		a.catalog.handleChange(data)
	}
}

// HandleCallResult takes the outcome of a call. It reports whether the call was the
// autoscaler's.
func (a *Autoscaler) HandleCallResult(now event.Time, result event.CallResult) bool {
	return a.cloud.handleResult(now, result)
}

// Tick does what is due of the leader's work: it reads the machine list, releases
// machines and finds those that are lost. term is the condition of all writes.
func (a *Autoscaler) Tick(now event.Time, leadership worker.Leadership, term kv.Compare, out *event.Effects) {
	a.catalog.refresh(now, &term, out)
	a.provisioner.sendRetries(now, out)
	a.decommissions.release(now, term, out)
	a.list.requestPage(now, out)
	if a.announcer.incomplete {
		a.announcer.announce(now, leadership, out)
	}
	if now-a.scannedAt >= scanInterval {
		a.scannedAt = now
		a.scanMachines(&scan{now: now, leadership: leadership, term: term}, out)
	}
}

// scanMachines looks at all machines and decommissions those that nothing can use.
func (a *Autoscaler) scanMachines(scan *scan, out *event.Effects) {
	a.scaleIn.updateUse(scan)
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

// Plan provisions for the tasks of blocked jobs, which found no capacity, as things
// will stand when a machine asked for now is up: what ends or leaves by then frees
// capacity, what was preempted needs capacity again, and machines that are booting take
// tasks. For the rest machines are provisioned where a task costs least. Nothing is
// provisioned before the cloud's list has been read in this term.
func (a *Autoscaler) Plan(now event.Time, blocked []*pipeline.Job, s *scheduler.Scheduler, fencingToken uint64, out *event.Effects) {
	if !a.list.upToDate {
		a.list.expedite(now)
		return
	}
	plan := a.planner.newPlan(now, s)
	for _, job := range plan.withPreempted(blocked) {
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

// RefreshMachineTypes asks the cloud for its machine types if that is due. Any
// controller may do so, until they are known.
func (a *Autoscaler) RefreshMachineTypes(now event.Time, out *event.Effects) {
	a.catalog.refresh(now, nil, out)
}

// MachineTypes returns the machine types of the cloud as last seen. The list that the
// pointer refers to is updated in place.
func (a *Autoscaler) MachineTypes() *scheduler.MachineTypes { return &a.catalog.types }

// ReplanRequested reports whether a response of the cloud calls for another plan at
// once.
func (a *Autoscaler) ReplanRequested() bool { return a.provisioner.replanRequested }

// TakeReplanRequest is like ReplanRequested and clears the request: the caller makes
// the plan.
func (a *Autoscaler) TakeReplanRequest() bool {
	requested := a.provisioner.replanRequested
	a.provisioner.replanRequested = false
	return requested
}

// Released reports whether a machine was released in this term, by its name: a heartbeat
// of it that arrives now was sent before.
func (a *Autoscaler) Released(machine string) bool {
	_, released := a.decommissions.releasedAt(machine)
	return released
}

// IsBooting reports whether a machine is expected to register, by its index.
func (a *Autoscaler) IsBooting(machine pipeline.MachineIndex) bool {
	return a.booting.get(machine) != nil
}

// HasUnregisteredMachines reports whether the cloud lists a machine as running that has
// sent us no heartbeat.
func (a *Autoscaler) HasUnregisteredMachines() bool { return a.booting.anyRunning() }
