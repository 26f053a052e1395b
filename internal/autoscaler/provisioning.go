package autoscaler

import (
	"fmt"
	"log/slog"
	"net/http"
	"time"

	"lugward/internal/event"
	"lugward/internal/pipeline"
	"lugward/internal/worker"
)

const (
	maxProvisionBatch   = 50 // machines per request
	maxProvisionRetries = 5
	// A pool that cannot provide the requested machines gets no new request for
	// minPoolBackoff. The backoff doubles with each refusal, up to maxPoolBackoff.
	minPoolBackoff = 15 * time.Second
	maxPoolBackoff = 2 * time.Minute
)

// poolBackoff is the backoff of a pool that could not provide the requested machines.
type poolBackoff struct {
	until    event.Time
	duration time.Duration
}

// provisionRequest is a request to provision machines. Its name is an idempotency key:
// the cloud executes a request once, even if it is sent several times.
type provisionRequest struct {
	name    string
	pool    machinePool
	count   int
	retries int // number of times that the request was repeated
}

// provisionRetry is a provision request that is to be repeated at a given time.
type provisionRetry struct {
	at      event.Time
	request provisionRequest
}

// provisioner provisions machines from the cloud.
type provisioner struct {
	cloud   *cloudClient
	names   *pipeline.Names
	workers *worker.Registry
	booting *bootingMachines
	log     *slog.Logger

	serial    int                 // serial number of the last request in this term
	requested map[machinePool]int // machines in requests that are not finished, by pool
	backoffs  map[machinePool]poolBackoff
	retries   []provisionRetry

	replanRequested bool // a request has finished, so that a new plan is needed immediately
}

// reset discards the state that only the leader keeps.
func (p *provisioner) reset() {
	p.serial = 0
	p.requested = map[machinePool]int{}
	p.backoffs = map[machinePool]poolBackoff{}
	p.retries = nil
}

// backOff starts or extends the backoff of a pool.
func (p *provisioner) backOff(pool machinePool, now event.Time) {
	duration := min(maxPoolBackoff, max(minPoolBackoff, 2*p.backoffs[pool].duration))
	p.backoffs[pool] = poolBackoff{until: now + duration, duration: duration}
}

// backingOff reports whether a pool is in backoff.
func (p *provisioner) backingOff(pool machinePool, now event.Time) bool {
	return now < p.backoffs[pool].until
}

// clearBackoff ends the backoff of a pool that has capacity again.
func (p *provisioner) clearBackoff(pool machinePool) {
	delete(p.backoffs, pool)
}

// provision requests machines from a pool. The caller must have checked that the cloud
// client is ready. The request's name contains the fencing token of the term, so that
// no other leader ever uses the same name.
func (p *provisioner) provision(pool machinePool, count int, fencingToken uint64, out *event.Effects) {
	p.serial++
	p.requested[pool] += count
	name := fmt.Sprintf("t%d-%d", fencingToken, p.serial)
	p.send(provisionRequest{name: name, pool: pool, count: count}, out)
}

// sendDueRetries repeats the requests whose retry is due.
func (p *provisioner) sendDueRetries(now event.Time, out *event.Effects) {
	retries := p.retries
	p.retries = nil
	for _, retry := range retries {
		if now >= retry.at && p.cloud.ready(now) {
			p.send(retry.request, out)
		} else {
			p.retries = append(p.retries, retry)
		}
	}
}

func (p *provisioner) send(request provisionRequest, out *event.Effects) {
	p.cloud.post(machinesPath, newWireProvisionRequest(request, p.names), func(now event.Time, response response) {
		p.handleResponse(now, request, response)
	}, out)
}

// handleResponse handles the response to a provision request.
func (p *provisioner) handleResponse(now event.Time, request provisionRequest, response response) {
	result, err := decodeProvisionResponse(response.body)
	noCapacity := response.status == http.StatusServiceUnavailable && result.Error == insufficientCapacity
	switch {
	case response.status == http.StatusOK && err == nil:
		p.addProvisioned(now, request, result.Machines)
	case noCapacity || response.status == http.StatusBadRequest:
		p.backOff(request.pool, now)
	case request.retries < maxProvisionRetries:
		if response.status != 0 {
			p.cloud.pause(now)
		}
		p.retryLater(now, request)
		return
	}
	p.replanRequested = true
	p.finish(request)
}

// retryLater schedules a request to be repeated after errorPause. The cloud may already
// have executed it: only a request with the same name is certain not to provision the
// machines twice.
func (p *provisioner) retryLater(now event.Time, request provisionRequest) {
	request.retries++
	p.retries = append(p.retries, provisionRetry{at: now + errorPause, request: request})
}

// finish removes the machines of a finished request from the requested ones.
func (p *provisioner) finish(request provisionRequest) {
	p.requested[request.pool] -= request.count
	if p.requested[request.pool] <= 0 {
		delete(p.requested, request.pool)
	}
}

// addProvisioned adds the machines that the cloud has provisioned to the registry and
// to the booting machines.
func (p *provisioner) addProvisioned(now event.Time, request provisionRequest, machines []string) {
	pool := request.pool
	p.log.Info("machines provisioned", "request", request.name, "machine_type", p.names.MachineTypes.Name(pool.machineType),
		"spot", pool.spot, "requested", request.count, "provisioned", len(machines))
	for _, name := range machines {
		machine := p.workers.Add(name, now)
		if machine.LastHeartbeat() != 0 {
			continue // it registered before the response arrived
		}
		machine.Describe(pool.machineType, pool.zone, pool.spot)
		p.booting.add(machine, &bootingMachine{pool: pool, since: now, provisionedInTerm: true})
	}
	if len(machines) < request.count {
		p.backOff(pool, now)
	}
}
