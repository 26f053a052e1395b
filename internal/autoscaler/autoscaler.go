// Package autoscaler deals with the cloud: it learns machine types, provisions for
// work that finds no capacity, and returns what nothing can use.
package autoscaler

import (
	"log/slog"
	"maps"
	"slices"
	"time"

	"lugward/internal/event"
	"lugward/internal/pipeline"
	"lugward/internal/scheduler"
	"lugward/internal/store"
	"lugward/internal/worker"
)

// Keys of this slice.
const (
	TypesKey   = "c/types" // the machine types as last seen
	Kind       = "c"
	RetireKind = "h" // h/<machine>: retired, to be returned
)

// Config are the settings of this slice.
type Config struct {
	ValueBytes int // of the state service
	Addr       string
	RPS        float64
	ListLag    time.Duration
	IdleKeep   time.Duration // an idle machine is kept this long
	Settle     time.Duration // after a term begins nothing is returned for this long
}

const (
	callTimeout       = 8 * time.Second
	typesInterval     = 60 * time.Second
	listInterval      = 10 * time.Second
	refusedPause      = 15 * time.Second // doubles with each refusal
	refusedPauseMax   = 2 * time.Minute
	errorPause        = 2 * time.Second
	maxProvisionBatch = 50
	tieBreakWeight    = 1e-3 // weighs less than any real difference in price
	// So many retirements wait for their write at a time: hundreds after a burst
	// would hold up the writes that free the machines of running jobs.
	maxRetiring     = 20
	retireRank      = 100              // before the progress of any job: an idle machine costs money
	cleanupTimeout  = 10 * time.Minute // of a write that nothing waits for
	maxReleaseBatch = 100
	listLimit       = 500
	// A machine that is up and does not report for this long is lost; where
	// most of its zone is silent, too, the network is the likelier cause, and
	// whoever returns them all pays for as many boots when it is mended.
	silentTimeout      = 60 * time.Second
	partitionedTimeout = 150 * time.Second
	scanInterval       = 500 * time.Millisecond // between two looks at all machines
	releaseInterval    = 100 * time.Millisecond // between two looks at what is to be returned
	// A machine that is up and has not come over by then is told our fencing token, so
	// many at a look: a connection to a silent one is held for a while.
	announceAfter    = 2 * time.Second
	maxAnnouncements = 20
	// For each silent machine so many others of its zone must be heard.
	silentShare = 3
	// A zone counts as cut for so long after a machine came back.
	partitionMemory = 60 * time.Second
)

// bootingMachine is a provisioned machine that has not reported yet.
type bootingMachine struct {
	offer
	since event.Time
	up    bool       // by the list, though silent to us
	idle  event.Time // since when no task is planned for it, 0: one is
	ours  bool       // provisioned in this term
}

// Autoscaler provisions and releases the machines of the cloud.
type Autoscaler struct {
	cfg          Config
	names        *pipeline.Names
	jobs         *pipeline.Table
	workers      *worker.Registry
	store        *store.Client
	log          *slog.Logger
	MachineTypes scheduler.MachineTypes
	rawType      []byte // as stored

	calls    map[uint64]func(now event.Time, status int, body []byte, out *event.Effects)
	tokens   float64
	tokensAt event.Time
	pauseTo  event.Time

	typesAt      event.Time
	listAt       event.Time
	listing      bool
	serial       int
	provisioning map[offer]int // machines asked for
	refused      map[offer]refusal
	booting      map[int]*bootingMachine
	retired      map[string]uint64 // by name: version of the logged retirement
	releasing    map[string]bool
	logging      map[string]bool
	released     map[string]event.Time // machines the cloud has taken back from us
	since        event.Time
	scanAt       event.Time
	releaseAt    event.Time
	boots        map[int]*bootHistory // by machine type
	overdueNow   map[offer]bool       // offers with overdue machines, as the plan began
	partitioned  map[int]bool         // zones most of whose machines are silent
	retries      []pendingRetry       // provisioning requests to repeat

	planFrom event.Time // plans need a list that was asked for after this
	mayPlan  bool

	// Replan is set when an answer calls for another plan at once.
	Replan bool
}

// New returns the slice.
func New(cfg Config, n *pipeline.Names, t *pipeline.Table, f *worker.Registry, s *store.Client, log *slog.Logger) *Autoscaler {
	r := &Autoscaler{cfg: cfg, names: n, jobs: t, workers: f, store: s, log: log, calls: map[uint64]func(event.Time, int, []byte, *event.Effects){},
		retired: map[string]uint64{}, boots: map[int]*bootHistory{}}
	r.Forget()
	return r
}

// Forget drops what only a leader knows.
func (r *Autoscaler) Forget() {
	r.provisioning, r.refused, r.booting = map[offer]int{}, map[offer]refusal{}, map[int]*bootingMachine{}
	r.releasing, r.logging, r.released = map[string]bool{}, map[string]bool{}, map[string]event.Time{}
	r.typesAt, r.listAt, r.listing = -typesInterval, -listInterval, false
	clear(r.calls)
	r.retries, r.mayPlan, r.scanAt, r.releaseAt, r.partitioned = nil, false, 0, 0, nil
}

// Begin starts a term.
func (r *Autoscaler) Begin(now event.Time, token uint64) {
	r.Forget()
	r.since, r.serial = now, 0
	// What a leader before us provisioned last is not on the list yet: provisioning by
	// an older list would provision it twice.
	r.planFrom = now
	if token > 1 {
		r.planFrom += r.cfg.ListLag
	}
}

// HasSilentMachines tells whether a machine is up by the list that does not report to us.
func (r *Autoscaler) HasSilentMachines() bool {
	for _, b := range r.booting {
		if b.up {
			return true
		}
	}
	return false
}

// Released tells whether the cloud has taken a machine back from us: a report
// of it that comes now was written before.
func (r *Autoscaler) Released(machine string) bool {
	_, ok := r.released[machine]
	return ok
}

// Listen takes a change of the replica.
func (r *Autoscaler) Listen(kind, rest string, data []byte, version uint64) {
	if kind == RetireKind {
		if data == nil {
			delete(r.retired, rest)
		} else {
			r.retired[rest] = version
		}
		return
	}
	if data != nil {
		r.takeTypes(data)
	}
}

// Tick does the leader's part: lists, returns, gives up machines.
func (r *Autoscaler) Tick(now event.Time, t worker.Term, term store.Condition, silent time.Duration, out *event.Effects) {
	r.Types(now, &term, out)
	r.sendRetries(now, out)
	r.releaseRetired(now, term, out)
	if !r.listing && now-r.listAt >= listInterval && r.allowed(now) {
		r.list(now, "", out)
	}
	if now-r.scanAt < scanInterval {
		return
	}
	r.scanAt = now
	for _, h := range r.workers.Machines {
		if h != nil && len(r.jobs.OnMachine(h.Index)) > 0 {
			h.IdleFrom = now
		}
		// A retirement whose write was refused is logged again.
		if h != nil && h.Retiring && r.retired[h.Name] == 0 && !r.releasing[h.Name] {
			r.Retire(h, now, term)
		}
	}
	zones := r.zones()
	r.findPartitioned(zones, now, silent)
	announcements := 0
	for _, h := range r.workers.Machines {
		// What we heard of it may have been a copy; it stays away itself.
		if h != nil && h.LastReport > 0 && !h.TokenConfirmed && now-h.LastReport > announceAfter && announcements < maxAnnouncements {
			announcements++
			r.workers.AnnounceToken(h, now, t, out)
		}
	}
	for _, i := range slices.Sorted(maps.Keys(r.booting)) {
		b, h := r.booting[i], r.workers.At(i)
		if h == nil || h.LastReport > 0 {
			r.recordBootTime(b, now)
			delete(r.booting, i)
			r.jobs.Changed = true
			continue
		}
		if b.up && now-b.since > announceAfter && announcements < maxAnnouncements {
			announcements++
			r.workers.AnnounceToken(h, now, t, out)
		}
		f := r.MachineTypes.Get(b.machineType)
		wait := bootMin
		if f != nil && !b.up {
			wait = max(bootMin, r.bootTimeout(f, bootFactor))
		} else if len(r.jobs.OnMachine(i)) > 0 {
			// Perhaps it works behind a cut; its lease tells when not.
			wait = silentTimeout
		}
		if b.up && r.partitioned[b.zone] {
			wait = partitionedTimeout
		}
		if f != nil && now-b.since > wait {
			r.log.Info("machine never came up", "machine", h.Name)
			delete(r.booting, i)
			r.Retire(h, now, term)
		}
	}
	if now-r.since < r.cfg.Settle {
		return
	}
	r.releaseSilent(zones, now, term, silent)
	for _, h := range r.workers.Machines {
		if h == nil || !h.Known || h.Retiring {
			continue
		}
		if r.workers.UnreachableBeyondLease(h, now, t) && !r.partitioned[h.Zone] {
			r.log.Info("unreachable machine released", "machine", h.Name)
			r.Retire(h, now, term)
			continue
		}
		if len(r.jobs.OnMachine(h.Index)) > 0 {
			continue
		}
		wait := silentTimeout
		if r.partitioned[h.Zone] {
			wait = partitionedTimeout
		}
		lost := h.LastReport > 0 && now-h.LastReport > wait
		if lost || (h.LastReport > 0 && h.UnknownTasks == 0 && (h.Draining || h.ReclaimAt != 0 || now-max(h.IdleFrom, h.ReservedAt) > r.cfg.IdleKeep)) {
			r.Retire(h, now, term)
		}
	}
}
