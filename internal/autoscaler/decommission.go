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
	// maxPendingDecommissions is the maximum number of decommissions that wait for
	// their write. After a burst, hundreds of them would delay the writes that free the
	// machines of running jobs.
	maxPendingDecommissions = 20
	// decommissionRank puts decommissions before the progress of any job, because an
	// idle machine costs money.
	decommissionRank = 100
	// cleanupTimeout is the timeout of the write that deletes a completed decommission.
	// Nothing waits for that write.
	cleanupTimeout  = 10 * time.Minute
	maxReleaseBatch = 100                    // machines per release request
	releaseInterval = 100 * time.Millisecond // between checks for machines to release
)

// decommissionValue is the value of a decommission key. Only the existence of the key
// matters.
var decommissionValue = []byte("1")

// decommissions decommissions and releases machines. A decommission is persisted before
// the machine is released, so that no later leader places a task on the machine.
type decommissions struct {
	store       *kv.Client
	cloud       *cloudClient
	workers     *worker.Registry
	booting     *bootingMachines
	provisioner *provisioner

	// All maps are keyed by machine name.
	persisted  map[string]bool       // the decommission is persisted
	persisting map[string]bool       // the write of the decommission is pending
	releasing  map[string]bool       // the release request or the deletion of the decommission is pending
	released   map[string]event.Time // time of release, for machines released in this term
	checkedAt  event.Time            // time of the last check for machines to release
}

// reset clears the state that only the leader maintains.
func (d *decommissions) reset() {
	d.persisting = map[string]bool{}
	d.releasing = map[string]bool{}
	d.released = map[string]event.Time{}
	d.checkedAt = 0
}

// handleChange handles a change of the decommission key of a machine. data is nil if the
// key was deleted.
func (d *decommissions) handleChange(machine string, data []byte) {
	if data == nil {
		delete(d.persisted, machine)
	} else {
		d.persisted[machine] = true
	}
}

// isDecommissioned reports whether the decommission of a machine is persisted or its release is
// in progress.
func (d *decommissions) isDecommissioned(machine string) bool {
	return d.persisted[machine] || d.releasing[machine]
}

// releasedAt returns the time at which a machine was released. released is false if the
// machine was not released in this term.
func (d *decommissions) releasedAt(machine string) (at event.Time, released bool) {
	at, released = d.released[machine]
	return at, released
}

// start begins to decommission a machine: the machine accepts no more tasks, and it is
// released once the decommission is persisted. If too many such writes are pending, a
// later scan of the machines calls start again.
func (d *decommissions) start(machine *worker.Machine, now event.Time, term kv.Compare) {
	machine.StartDecommission()
	name := machine.Name
	if d.persisting[name] || d.persisted[name] || len(d.persisting) >= maxPendingDecommissions {
		return
	}
	d.persisting[name] = true
	d.store.Submit(&kv.Txn{
		Priority: kv.PriorityProgress,
		Rank:     decommissionRank,
		Compares: []kv.Compare{term},
		Writes:   []kv.Write{{Key: decommissionKey(name), Data: decommissionValue}},
		Done:     func(kv.Result) { delete(d.persisting, name) },
	}, now+writeTimeout)
}

func decommissionKey(machine string) string { return DecommissionKeyPrefix + "/" + machine }

// releaseIfDue requests the release of machines whose decommission is persisted, at most
// once per releaseInterval.
func (d *decommissions) releaseIfDue(now event.Time, term kv.Compare, out *event.Effects) {
	if len(d.persisted) == 0 || now-d.checkedAt < releaseInterval {
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

// unreleased returns the sorted names of the machines whose decommission is persisted and
// for which no release is in progress.
func (d *decommissions) unreleased() []string {
	var machines []string
	for name := range d.persisted {
		if !d.releasing[name] {
			machines = append(machines, name)
		}
	}
	slices.Sort(machines)
	return machines
}

// handleResponse handles the response to a release request for the given machines.
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

// finish removes a machine that the cloud has released and deletes its decommission. The
// release proves that the tasks of the machine have terminated.
func (d *decommissions) finish(name string, now event.Time, term kv.Compare) {
	machine := d.workers.Add(name, now)
	d.workers.RecordTermination(machine)
	d.booting.remove(machine.Index)
	d.provisioner.clearBackoff(poolOf(machine))
	d.workers.Remove(machine)
	d.released[name] = now
	d.releasing[name] = true // prevents a second request until the decommission is deleted
	d.store.Submit(&kv.Txn{
		Priority: kv.PriorityGarbageCollection,
		Compares: []kv.Compare{term},
		Writes:   []kv.Write{{Key: decommissionKey(name)}},
		Done:     func(kv.Result) { delete(d.releasing, name) },
	}, now+cleanupTimeout)
}
