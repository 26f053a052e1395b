package autoscaler

import (
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"lugward/internal/event"
	"lugward/internal/kv"
	"lugward/internal/worker"
)

const (
	// Only so many retirements wait for their write at a time: hundreds after a
	// burst would hold up the writes that free the machines of running jobs.
	maxRetiring     = 20
	retireRank      = 100                    // before the progress of any job: an idle machine costs money
	cleanupTimeout  = 10 * time.Minute       // of a write that nothing waits for
	maxReleaseBatch = 100                    // machines released by one request
	releaseInterval = 100 * time.Millisecond // between two looks at what is to be released
)

// retiredValue is what is stored of a retired machine; only that it exists counts.
var retiredValue = []byte("1")

// decommissions holds the machines on their way out. A retirement is stored before
// the machine is released, so that no later leader places a task there.
type decommissions struct {
	stored    map[string]uint64 // by machine: version of the stored retirement
	storing   map[string]bool   // its write is under way
	releasing map[string]bool   // the cloud is asked, or the stored retirement is being deleted
	released  map[string]event.Time
	checkedAt event.Time
}

// reset drops what only a leader knows.
func (r *decommissions) reset() {
	r.storing = map[string]bool{}
	r.releasing = map[string]bool{}
	r.released = map[string]event.Time{}
	r.checkedAt = 0
}

// wireRelease is the request to release machines in the cloud's protocol.
type wireRelease struct {
	Machines []string `json:"hosts"`
}

// Decommission stores that a machine gets no more tasks; it is released once that is
// stored.
func (a *Autoscaler) Decommission(machine *worker.Machine, now event.Time, term kv.Compare) {
	machine.StartDecommission()
	name := machine.Name
	if a.decommissions.storing[name] || a.decommissions.stored[name] != 0 || len(a.decommissions.storing) >= maxRetiring {
		return // a later scan repeats it where it is not stored yet
	}
	a.decommissions.storing[name] = true
	a.store.Submit(&kv.Txn{
		Priority: kv.PriorityProgress,
		Rank:     retireRank,
		Compares: []kv.Compare{term},
		Writes:   []kv.Write{{Key: decommissionKey(name), Data: retiredValue}},
		Done:     func(kv.Result) { delete(a.decommissions.storing, name) },
	}, now+writeTimeout)
}

func decommissionKey(machine string) string { return DecommissionKeyPrefix + "/" + machine }

// releaseDecommissioned releases machines whose retirement is stored.
func (a *Autoscaler) releaseDecommissioned(now event.Time, term kv.Compare, out *event.Effects) {
	if len(a.decommissions.stored) == 0 || now-a.decommissions.checkedAt < releaseInterval {
		return
	}
	a.decommissions.checkedAt = now
	var machines []string
	for name := range a.decommissions.stored {
		if !a.decommissions.releasing[name] {
			machines = append(machines, name)
		}
	}
	slices.Sort(machines)
	for _, name := range machines {
		a.workers.Add(name, now).StartDecommission()
	}
	if len(machines) == 0 || !a.allowed(now) {
		return
	}
	machines = machines[:min(len(machines), maxReleaseBatch)]
	for _, name := range machines {
		a.decommissions.releasing[name] = true
	}
	body, _ := json.Marshal(wireRelease{machines})
	a.call(http.MethodPost, "/rentals/return", body, releaseRequest{machines, term}, out)
}

// releaseRequest asks the cloud to take machines back.
type releaseRequest struct {
	machines []string
	term     kv.Compare
}

func (r releaseRequest) finish(a *Autoscaler, now event.Time, response response, _ *event.Effects) {
	for _, name := range r.machines {
		delete(a.decommissions.releasing, name)
	}
	if response.status != http.StatusOK {
		a.cloud.pausedUntil = max(a.cloud.pausedUntil, now+errorPause)
		return
	}
	for _, name := range r.machines {
		a.machineReleased(name, now, r.term)
	}
}

// machineReleased forgets a machine that the cloud has taken back: that proves that
// its tasks have terminated.
func (a *Autoscaler) machineReleased(name string, now event.Time, term kv.Compare) {
	machine := a.workers.Add(name, now)
	a.workers.RecordTermination(machine)
	delete(a.booting, machine.Index)
	delete(a.provisioning.refused, offerOf(machine)) // the cloud has one again
	a.workers.Remove(machine)
	a.decommissions.released[name] = now
	a.decommissions.releasing[name] = true // no second request while the stored retirement is deleted
	a.store.Submit(&kv.Txn{
		Priority: kv.PriorityCleanup,
		Compares: []kv.Compare{term},
		Writes:   []kv.Write{{Key: decommissionKey(name)}},
		Done:     func(kv.Result) { delete(a.decommissions.releasing, name) },
	}, now+cleanupTimeout)
}
