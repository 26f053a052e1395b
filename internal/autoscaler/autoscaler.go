// Package autoscaler deals with the cloud: it learns machine types, provisions for
// work that finds no capacity, and returns what nothing can use.
package autoscaler

import (
	"cmp"
	"encoding/json"
	"fmt"
	"log/slog"
	"maps"
	"math"
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

type offer struct {
	machineType, zone int
	spot              bool
}

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

type wireType struct {
	Name      string   `json:"name"`
	CPUs      float64  `json:"cores"`
	GPUs      float64  `json:"cards"`
	Memory    float64  `json:"ram_gb"`
	Fetch     float64  `json:"fetch_gb_per_s"`
	Price     float64  `json:"price"`
	SpotPrice float64  `json:"low_price"`
	Ready     float64  `json:"ready_s"`
	Zones     []string `json:"yards"`
}

type wireTypes struct {
	MachineTypes []wireType `json:"flavors"`
}

func (r *Autoscaler) takeTypes(data []byte) bool {
	var v wireTypes
	if json.Unmarshal(data, &v) != nil || len(v.MachineTypes) == 0 {
		return false
	}
	for _, t := range v.MachineTypes {
		if t.Name == "" || !(t.CPUs >= 0) || !(t.Price >= 0) {
			return false
		}
	}
	for _, t := range v.MachineTypes {
		f := &scheduler.MachineType{Index: r.names.MachineTypes.Index(t.Name), CPUs: t.CPUs, GPUs: t.GPUs, Memory: t.Memory, Price: t.Price,
			SpotPrice: t.SpotPrice, BootTime: t.Ready, FetchRate: t.Fetch}
		for _, y := range t.Zones {
			f.Zones = append(f.Zones, r.names.Zones.Index(y))
		}
		for len(r.MachineTypes) <= f.Index {
			r.MachineTypes = append(r.MachineTypes, nil)
		}
		r.MachineTypes[f.Index] = f
	}
	r.jobs.Changed = true
	return true
}

func (r *Autoscaler) allowed(now event.Time) bool {
	if now < r.pauseTo {
		return false
	}
	r.tokens = math.Min(2*r.cfg.RPS, r.tokens+r.cfg.RPS*0.9*(now-r.tokensAt).Seconds())
	r.tokensAt = now
	return r.tokens >= 1
}

func (r *Autoscaler) call(method, path string, body []byte, out *event.Effects, f func(now event.Time, status int, body []byte, out *event.Effects)) {
	r.tokens--
	r.calls[out.Call(r.cfg.Addr, method, path, body, callTimeout)] = func(now event.Time, status int, body []byte, out *event.Effects) {
		if status == 429 || (status == 503 && method == "GET") {
			r.pauseTo = now + errorPause
		}
		f(now, status, body, out)
	}
}

// CallDone takes the outcome of a call; it tells whether it was ours.
func (r *Autoscaler) CallDone(now event.Time, d event.CallDone, out *event.Effects) bool {
	f, ok := r.calls[d.ID]
	if !ok {
		return false
	}
	delete(r.calls, d.ID)
	f(now, d.Status, d.Body, out)
	return true
}

// Types refreshes the machine types; any node may, until they are known.
func (r *Autoscaler) Types(now event.Time, term *store.Condition, out *event.Effects) {
	if now-r.typesAt < typesInterval && (len(r.MachineTypes) > 0 || now-r.typesAt < errorPause) || !r.allowed(now) {
		return
	}
	r.typesAt = now
	r.call("GET", "/machine_types", nil, out, func(now event.Time, status int, body []byte, out *event.Effects) {
		if status != 200 || !r.takeTypes(body) {
			r.typesAt = now - typesInterval + errorPause
			return
		}
		if term == nil || len(r.rawType) > 0 {
			return
		}
		var v wireTypes
		_ = json.Unmarshal(body, &v)
		raw, err := json.Marshal(v)
		if err != nil || len(raw) > r.cfg.ValueBytes {
			return // each controller still learns them from the cloud
		}
		r.store.Submit(&store.Intent{Priority: store.Accept, Conditions: []store.Condition{*term},
			Writes: []store.Write{{Key: TypesKey, Data: raw}},
			Done: func(res store.Result) {
				if res.Outcome == store.OK || res.Invalid {
					r.rawType = raw // refused as malformed: it would be again
				}
			}}, now+time.Minute)
	})
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

// zones lists the machines of each zone that are up, heard or not.
func (r *Autoscaler) zones() map[int][]*worker.Machine {
	zones := map[int][]*worker.Machine{}
	for _, h := range r.workers.Machines {
		if h == nil || h.Retiring {
			continue
		}
		if b := r.booting[h.Index]; h.LastReport != 0 || (b != nil && b.up) {
			zones[h.Zone] = append(zones[h.Zone], h)
		}
	}
	return zones
}

// findPartitioned finds the zones most of whose machines are silent: nothing is
// provisioned there, and what is there is not given up soon.
func (r *Autoscaler) findPartitioned(zones map[int][]*worker.Machine, now event.Time, silent time.Duration) {
	partitioned := map[int]bool{}
	for z, machines := range zones {
		lost := 0
		for _, h := range machines {
			last := h.LastReport
			if b := r.booting[h.Index]; h.LastReport == 0 && b != nil {
				last = b.since
			}
			if now-last > silent || h.UnreachableSince != 0 {
				lost++
			}
		}
		if lost > 1 && 2*lost > len(machines) {
			partitioned[z] = true
			if !r.partitioned[z] {
				r.log.Info("zone is partitioned", "zone", r.names.Zones.Name(z), "machines", len(machines), "silent", lost)
			}
		}
	}
	r.partitioned = partitioned
}

// releaseSilent returns a machine that alone in its zone went silent: the
// cloud's answer proves its tasks terminated long before its lease does. Where
// several are silent the network is the likelier cause, and they are left to
// go on working; so they are while the zone comes back machine by machine.
func (r *Autoscaler) releaseSilent(zones map[int][]*worker.Machine, now event.Time, term store.Condition, silent time.Duration) {
	for _, z := range slices.Sorted(maps.Keys(zones)) {
		var lost []*worker.Machine
		for _, h := range zones[z] {
			if h.LastReport != 0 && now-h.LastReport > silent { // else it counts as booting
				lost = append(lost, h)
			}
		}
		for _, l := range lost {
			// Machines behind one cut go silent one by one, each when its next
			// report is due: only those heard well after count.
			heard := 0
			for _, h := range zones[z] {
				if h.LastReport > l.LastReport+silent*3/4 && (h.ReconnectedAt == 0 || now-h.ReconnectedAt > partitionMemory) {
					heard++
				}
			}
			if heard >= silentShare*len(lost) {
				r.log.Info("silent machine released", "machine", l.Name, "tasks", len(r.jobs.OnMachine(l.Index)))
				r.Retire(l, now, term)
			}
		}
	}
}

// Retire logs that a machine gets nothing more; once that is stored it is
// returned. A successor knows by the log not to use it.
func (r *Autoscaler) Retire(h *worker.Machine, now event.Time, term store.Condition) {
	h.Retiring = true
	if r.logging[h.Name] || r.retired[h.Name] != 0 || len(r.logging) >= maxRetiring {
		return // what is left is retired by a later look at the machines
	}
	r.logging[h.Name] = true
	name := h.Name
	r.store.Submit(&store.Intent{Priority: store.Progress, Rank: retireRank, Conditions: []store.Condition{term},
		Writes: []store.Write{{Key: RetireKind + "/" + name, Data: []byte("1")}},
		Done:   func(store.Result) { delete(r.logging, name) }}, now+time.Minute)
}

func (r *Autoscaler) releaseRetired(now event.Time, term store.Condition, out *event.Effects) {
	if len(r.retired) == 0 || now-r.releaseAt < releaseInterval {
		return
	}
	r.releaseAt = now
	var machines []string
	for name := range r.retired {
		if !r.releasing[name] {
			machines = append(machines, name)
		}
	}
	slices.Sort(machines)
	for _, name := range machines {
		r.workers.Machine(name, now).Retiring = true
	}
	if len(machines) == 0 || !r.allowed(now) {
		return
	}
	machines = machines[:min(len(machines), maxReleaseBatch)]
	for _, n := range machines {
		r.releasing[n] = true
	}
	body, _ := json.Marshal(map[string]any{"hosts": machines})
	r.call("POST", "/rentals/return", body, out, func(now event.Time, status int, _ []byte, _ *event.Effects) {
		for _, n := range machines {
			delete(r.releasing, n)
		}
		if status != 200 {
			r.pauseTo = max(r.pauseTo, now+errorPause)
			return
		}
		for _, n := range machines {
			h := r.workers.Machine(n, now)
			r.workers.MarkTerminated(h, now) // the answer proves that nothing runs there
			delete(r.booting, h.Index)
			delete(r.refused, offer{h.MachineType, h.Zone, h.Spot}) // there is one to be had now
			r.workers.Machines[h.Index] = nil
			r.released[n] = now
			r.releasing[n] = true // not again, until the log entry is dropped
			r.store.Submit(&store.Intent{Priority: store.Cleanup, Conditions: []store.Condition{term},
				Writes: []store.Write{{Key: RetireKind + "/" + n}},
				Done:   func(store.Result) { delete(r.releasing, n) }}, now+cleanupTimeout)
		}
	})
}

type wireMachine struct {
	Name  string  `json:"name_id"`
	Addr  string  `json:"addr"`
	Type  string  `json:"flavor"`
	Zone  string  `json:"yard"`
	Spot  bool    `json:"loaners"`
	Phase string  `json:"phase"`
	Held  float64 `json:"held_s"`
}

// list reads the machine list: it shows machines that nobody expects.
func (r *Autoscaler) list(now event.Time, from string, out *event.Effects) {
	r.listing, r.listAt = true, now
	asked := now
	path := fmt.Sprintf("/rentals?limit=%d", listLimit)
	if from != "" {
		path += "&from=" + from
	}
	r.call("GET", path, nil, out, func(now event.Time, status int, body []byte, out *event.Effects) {
		r.listing = false
		var v struct {
			Machines []wireMachine `json:"hosts"`
			More     bool          `json:"has_next"`
		}
		if status != 200 || json.Unmarshal(body, &v) != nil {
			return
		}
		for _, w := range v.Machines {
			r.observeListed(w, now)
		}
		if v.More && len(v.Machines) > 0 {
			r.list(now, v.Machines[len(v.Machines)-1].Name, out)
		} else if asked >= r.planFrom {
			r.mayPlan = true
		}
	})
}

func (r *Autoscaler) observeListed(w wireMachine, now event.Time) {
	if w.Name == "" || r.retired[w.Name] != 0 || r.releasing[w.Name] {
		return
	}
	if at, ok := r.released[w.Name]; ok && now-at < 2*r.cfg.ListLag+listInterval {
		return // gone; the list lags
	}
	h := r.workers.Machine(w.Name, now)
	if h.Addr == "" {
		h.Addr = w.Addr
	}
	if !h.Known {
		h.MachineType, h.Zone, h.Spot, h.Known = r.names.MachineTypes.Index(w.Type), r.names.Zones.Index(w.Zone), w.Spot, true
	}
	switch {
	case w.Phase == "failed":
		h.Retiring = true // logged and returned by the next tick
	case w.Phase == "booting" && h.LastReport == 0 && r.booting[h.Index] == nil:
		r.booting[h.Index] = &bootingMachine{offer: offer{h.MachineType, h.Zone, h.Spot}, since: now - time.Duration(w.Held*float64(time.Second))}
	case w.Phase == "running" && h.LastReport == 0 && (r.booting[h.Index] == nil || !r.booting[h.Index].up):
		// Up by the list, silent to us: it counts as booting until it
		// reports or is given up.
		r.booting[h.Index] = &bootingMachine{offer: offer{h.MachineType, h.Zone, h.Spot}, since: now, up: true}
	}
}

// Plan provisions for the tasks that found no capacity, as things will stand when a
// machine asked for now is up: what ends or leaves by then frees capacity, what
// was stopped needs capacity again, and machines that are booting are filled in
// thought. What is left is bought where a task costs least.
func (r *Autoscaler) Plan(now event.Time, blocked []*pipeline.Job, p *scheduler.Scheduler, term uint64, out *event.Effects) {
	if !r.mayPlan {
		if now >= r.planFrom && !r.listing {
			r.listAt = now - listInterval
		}
		return
	}
	r.overdueNow = r.overdueOffers(now)
	capacities, leaving := p.FutureCapacities(now)
	retries := map[*pipeline.Job]int{}
	for _, e := range leaving {
		if retries[e.Job]++; retries[e.Job] == 1 && !slices.Contains(blocked, e.Job) {
			blocked = append(blocked, e.Job)
		}
	}
	coming := map[int]*scheduler.Capacity{}
	for _, i := range slices.Sorted(maps.Keys(r.booting)) {
		if h := r.workers.At(i); h != nil && !h.Retiring && h.LastReport == 0 && !(r.booting[i].up && r.partitioned[h.Zone]) && !r.overdue(r.booting[i], now) {
			if coming[i] = r.capacity(r.booting[i].offer); coming[i] != nil {
				capacities = append(capacities, coming[i])
			}
		}
	}
	for _, o := range sortedOffers(r.provisioning) {
		for n := r.provisioning[o]; n > 0; n-- {
			capacities = append(capacities, r.capacity(o))
		}
	}
	need := map[offer]int{}
	promised := map[int]pipeline.Usage{} // by team
	sequences := sequences{}
	for _, j := range blocked {
		left := min(j.StartableCount(), p.QuotaBeside(j, promised[j.Team]))
		if j.Shape == pipeline.Gang && left < j.StartableCount() {
			continue
		}
		if j.AtFault() && hasMachineFor(j, capacities) {
			continue // its probe waits for a machine that is there
		}
		u := promised[j.Team]
		u.Add(&j.Spec, float64(left))
		promised[j.Team] = u
		left += retries[j]
		boot := r.bootTime(j)
		left = sequences.places(j, left, boot+r.cfg.IdleKeep.Seconds(), p.Workers.ExpectedRuntime(j))
		for _, capacity := range capacities {
			if capacity != nil {
				capacity.ReleaseEnding(boot)
			}
		}
		inZone := p.Zones(j)
		only, ok := r.onlyZone(j, inZone, capacities, left, now)
		if !ok {
			continue
		}
		for _, capacity := range capacities {
			if left == 0 {
				break
			}
			if capacity == nil || !capacity.Matches(&j.Spec) || (capacity.Machine != nil && j.Avoids(capacity.Machine.Index, int64(now))) || (only >= 0 && capacity.Zone != only) {
				continue
			}
			if n := min(left, capacity.Fits(&j.Spec), scheduler.ZoneCapacity(j, inZone, capacity.Zone)); n > 0 {
				capacity.Allocate(&j.Spec, n)
				inZone[capacity.Zone] += n
				left -= n
			}
		}
		for left > 0 {
			o, per, ok := r.cheapestOffer(j, left, inZone, only, need, now)
			if !ok {
				break
			}
			need[o]++
			n := min(per, left)
			capacity := r.capacity(o)
			capacity.Allocate(&j.Spec, n)
			inZone[o.zone] += n
			capacities = append(capacities, capacity)
			left -= n
		}
	}
	for i, capacity := range coming {
		// What it was provisioned for may be done or have found capacity elsewhere.
		switch b := r.booting[i]; {
		case capacity == nil || capacity.Busy:
			b.idle = 0
		case b.idle == 0:
			b.idle = now
		case now-b.idle > 2*r.cfg.IdleKeep && len(r.jobs.OnMachine(i)) == 0:
			r.workers.At(i).Retiring = true // logged and returned by the next tick
		}
	}
	for _, o := range sortedOffers(need) {
		if !r.allowed(now) {
			return
		}
		r.provision(now, o, min(need[o], maxProvisionBatch), term, out)
	}
}

func (r *Autoscaler) capacity(o offer) *scheduler.Capacity {
	f := r.MachineTypes.Get(o.machineType)
	if f == nil {
		return nil
	}
	return &scheduler.Capacity{MachineType: f, Zone: o.zone, Spot: o.spot, CPUs: f.CPUs, GPUs: f.GPUs, Memory: f.Memory}
}

// hasMachineFor tells whether a task of a job fits on one of the machines once it is
// empty.
func hasMachineFor(j *pipeline.Job, capacities []*scheduler.Capacity) bool {
	return slices.ContainsFunc(capacities, func(c *scheduler.Capacity) bool {
		return c != nil && c.Matches(&j.Spec) && scheduler.Allows(&j.Spec, c.MachineType)
	})
}

// bootTime is how soon a machine asked for now can be up for a job: by the
// cloud's word, the quickest type, in seconds.
func (r *Autoscaler) bootTime(j *pipeline.Job) float64 {
	least := math.Inf(1)
	for _, f := range r.MachineTypes {
		if scheduler.Allows(&j.Spec, f) {
			least = min(least, r.expectedBoot(f))
		}
	}
	if math.IsInf(least, 1) {
		return 0
	}
	return least
}

// onlyZone names the zone to which a job that must stay in one is bound: the
// one its tasks may still be in, else the one where the missing machines cost
// least. -1: any; false: there is none.
func (r *Autoscaler) onlyZone(j *pipeline.Job, inZone map[int]int, capacities []*scheduler.Capacity, left int, now event.Time) (zone int, ok bool) {
	if !j.SamePlace {
		return -1, true
	}
	if len(inZone) > 0 {
		zone = slices.Sorted(maps.Keys(inZone))[0]
		return zone, len(inZone) == 1 && zone >= 0
	}
	least := math.Inf(1)
	for z := range r.names.Zones.Len() {
		rest := left
		for _, capacity := range capacities {
			if capacity != nil && capacity.Zone == z && capacity.Matches(&j.Spec) {
				rest -= capacity.Fits(&j.Spec)
			}
		}
		cost := 0.0
		if rest > 0 {
			o, per, found := r.cheapestOffer(j, rest, inZone, z, nil, now)
			if !found {
				continue
			}
			cost = r.price(o) * math.Ceil(float64(rest)/float64(per))
		}
		if cost < least {
			least, zone, ok = cost, z, true
		}
	}
	return zone, ok
}

func (r *Autoscaler) price(o offer) float64 {
	f := r.MachineTypes.Get(o.machineType)
	if o.spot {
		return f.SpotPrice
	}
	return f.Price
}

// cheapestOffer finds the offer at which the tasks cost least per hour.
func (r *Autoscaler) cheapestOffer(j *pipeline.Job, left int, inZone map[int]int, only int, need map[offer]int, now event.Time) (best offer, per int, ok bool) {
	least := math.Inf(1)
	for _, f := range r.MachineTypes {
		if !scheduler.Allows(&j.Spec, f) {
			continue
		}
		for _, z := range f.Zones {
			for _, spot := range []bool{true, false} {
				o := offer{f.Index, z, spot}
				capacity := r.capacity(o)
				if now < r.refused[o].until || r.partitioned[z] || !capacity.Matches(&j.Spec) || (only >= 0 && z != only) {
					continue
				}
				n := min(capacity.Fits(&j.Spec), scheduler.ZoneCapacity(j, inZone, z))
				if n <= 0 {
					continue
				}
				// Equal offers share what is asked, so that one plan reaches the
				// capacity of all zones.
				cost := r.price(o) / float64(min(n, left)) * (1 + tieBreakWeight*float64(need[o]))
				if r.overdueNow[o] {
					cost *= overdueCost
				}
				if cost < least {
					least, best, per, ok = cost, o, n, true
				}
			}
		}
	}
	return best, per, ok
}

// refusal is what we know of an offer that is sold out.
type refusal struct {
	until event.Time
	pause time.Duration
}

func (r *Autoscaler) refuse(o offer, now event.Time) {
	pause := min(refusedPauseMax, max(refusedPause, 2*r.refused[o].pause))
	r.refused[o] = refusal{now + pause, pause}
}

// provision asks for machines. The name holds the term, so that no other leader
// ever uses it again.
func (r *Autoscaler) provision(now event.Time, o offer, n int, term uint64, out *event.Effects) {
	r.serial++
	r.provisioning[o] += n
	r.send(fmt.Sprintf("t%d-%d", term, r.serial), o, n, 0, out)
}

const maxProvisionRetries = 5

func (r *Autoscaler) send(name string, o offer, n, attempts int, out *event.Effects) {
	body, _ := json.Marshal(map[string]any{"hire": name, "flavor": r.names.MachineTypes.Name(o.machineType), "yard": r.names.Zones.Name(o.zone),
		"loaners": o.spot, "number": n})
	r.call("POST", "/rentals", body, out, func(now event.Time, status int, body []byte, out *event.Effects) {
		var v struct {
			Machines []string `json:"hosts"`
			Error    string   `json:"error"`
		}
		err := json.Unmarshal(body, &v)
		switch {
		case status == 200 && err == nil:
			r.log.Info("provisioned", "request", name, "machine_type", r.names.MachineTypes.Name(o.machineType), "spot", o.spot, "asked", n, "got", len(v.Machines))
			for _, name := range v.Machines {
				h := r.workers.Machine(name, now)
				if h.LastReport == 0 {
					h.MachineType, h.Zone, h.Spot, h.Known = o.machineType, o.zone, o.spot, true
					r.booting[h.Index] = &bootingMachine{offer: o, since: now, ours: true}
				}
			}
			if len(v.Machines) < n {
				r.refuse(o, now)
			}
		case status == 503 && v.Error == "no capacity" || status == 400:
			r.refuse(o, now)
		case attempts < maxProvisionRetries:
			// Lost or in trouble: the same name again, so that it is provisioned
			// once at most.
			if status != 0 {
				r.pauseTo = now + errorPause
			}
			r.retries = append(r.retries, pendingRetry{now + errorPause, func(out *event.Effects) { r.send(name, o, n, attempts+1, out) }})
			return
		}
		r.Replan = true
		if r.provisioning[o] -= n; r.provisioning[o] <= 0 {
			delete(r.provisioning, o)
		}
	})
}

type pendingRetry struct {
	at event.Time
	do func(out *event.Effects)
}

func (r *Autoscaler) sendRetries(now event.Time, out *event.Effects) {
	list := r.retries
	r.retries = nil
	for _, a := range list {
		if now >= a.at && r.allowed(now) {
			a.do(out)
		} else {
			r.retries = append(r.retries, a)
		}
	}
}

// sortedOffers lists the keys in an order that does not change from run to run.
func sortedOffers(m map[offer]int) []offer {
	return slices.SortedFunc(maps.Keys(m), func(a, b offer) int {
		spot := 0
		if a.spot != b.spot {
			if spot = 1; a.spot {
				spot = -1
			}
		}
		return cmp.Or(cmp.Compare(a.machineType, b.machineType), cmp.Compare(a.zone, b.zone), spot)
	})
}
