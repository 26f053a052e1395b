package autoscaler

import (
	"net/http"
	"slices"
	"time"

	"lugward/internal/event"
	"lugward/internal/kv"
	"lugward/internal/worker"
)

const (
	// Only so many decommissions wait for their write at a time: hundreds after a burst
	// would hold up the writes that free the machines of running jobs.
	maxPendingDecommissions = 20
	decommissionRank        = 100                    // before the progress of any job: an idle machine costs money
	cleanupTimeout          = 10 * time.Minute       // of a write that nothing waits for
	maxReleaseBatch         = 100                    // machines released by one request
	releaseInterval         = 100 * time.Millisecond // between two looks at what is to be released
)

// decommissionValue is what is stored of a decommissioned machine; only that it exists
// counts.
var decommissionValue = []byte("1")

// decommissions takes machines out of service. A decommission is stored before the
// machine is released, so that no later leader places a task there.
type decommissions struct {
	store       *kv.Client
	cloud       *cloudClient
	workers     *worker.Registry
	booting     *bootingMachines
	provisioner *provisioner

	stored    map[string]bool       // machines whose decommission is stored
	storing   map[string]bool       // machines whose write is under way
	releasing map[string]bool       // the cloud is asked, or the stored decommission is being deleted
	released  map[string]event.Time // when the cloud took a machine back, in this term
	checkedAt event.Time            // when the stored ones were last looked at
}

// reset drops what only a leader knows.
func (d *decommissions) reset() {
	d.storing = map[string]bool{}
	d.releasing = map[string]bool{}
	d.released = map[string]event.Time{}
	d.checkedAt = 0
}

// handleChange takes a change of a stored decommission; data is nil if it was deleted.
func (d *decommissions) handleChange(machine string, data []byte) {
	if data == nil {
		delete(d.stored, machine)
	} else {
		d.stored[machine] = true
	}
}

// isLeaving reports whether the decommission of a machine is stored or being completed.
func (d *decommissions) isLeaving(machine string) bool {
	return d.stored[machine] || d.releasing[machine]
}

// releasedAt is when a machine was released in this term.
func (d *decommissions) releasedAt(machine string) (at event.Time, released bool) {
	at, released = d.released[machine]
	return at, released
}

// start stores that a machine gets no more tasks; it is released once that is stored.
// Where too many such writes are under way a later scan of the machines repeats it.
func (d *decommissions) start(machine *worker.Machine, now event.Time, term kv.Compare) {
	machine.StartDecommission()
	name := machine.Name
	if d.storing[name] || d.stored[name] || len(d.storing) >= maxPendingDecommissions {
		return
	}
	d.storing[name] = true
	d.store.Submit(&kv.Txn{
		Priority: kv.PriorityProgress,
		Rank:     decommissionRank,
		Compares: []kv.Compare{term},
		Writes:   []kv.Write{{Key: decommissionKey(name), Data: decommissionValue}},
		Done:     func(kv.Result) { delete(d.storing, name) },
	}, now+writeTimeout)
}

func decommissionKey(machine string) string { return DecommissionKeyPrefix + "/" + machine }

// release asks the cloud to take back machines whose decommission is stored.
func (d *decommissions) release(now event.Time, term kv.Compare, out *event.Effects) {
	if len(d.stored) == 0 || now-d.checkedAt < releaseInterval {
		return
	}
	d.checkedAt = now
	machines := d.unreleased()
	for _, name := range machines {
		d.workers.Add(name, now).StartDecommission()
	}
	if len(machines) == 0 || !d.cloud.ready(now) {
		return
	}
	machines = machines[:min(len(machines), maxReleaseBatch)]
	for _, name := range machines {
		d.releasing[name] = true
	}
	d.cloud.post(releasePath, wireReleaseRequest{Machines: machines}, func(now event.Time, response response) {
		d.handleResponse(now, response, machines, term)
	}, out)
}

// unreleased lists, by name, the machines whose decommission is stored and which the
// cloud has not been asked to take back.
func (d *decommissions) unreleased() []string {
	var machines []string
	for name := range d.stored {
		if !d.releasing[name] {
			machines = append(machines, name)
		}
	}
	slices.Sort(machines)
	return machines
}

// handleResponse takes the response to a request to take machines back.
func (d *decommissions) handleResponse(now event.Time, response response, machines []string, term kv.Compare) {
	for _, name := range machines {
		delete(d.releasing, name)
	}
	if response.status != http.StatusOK {
		d.cloud.pause(now)
		return
	}
	for _, name := range machines {
		d.finish(name, now, term)
	}
}

// finish forgets a machine that the cloud has taken back: that proves that its tasks
// have terminated.
func (d *decommissions) finish(name string, now event.Time, term kv.Compare) {
	machine := d.workers.Add(name, now)
	d.workers.RecordTermination(machine)
	d.booting.remove(machine.Index)
	d.provisioner.clearBackoff(poolOf(machine))
	d.workers.Remove(machine)
	d.released[name] = now
	d.releasing[name] = true // no second request while the stored decommission is deleted
	d.store.Submit(&kv.Txn{
		Priority: kv.PriorityGarbageCollection,
		Compares: []kv.Compare{term},
		Writes:   []kv.Write{{Key: decommissionKey(name)}},
		Done:     func(kv.Result) { delete(d.releasing, name) },
	}, now+cleanupTimeout)
}
