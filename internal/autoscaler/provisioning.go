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
	maxProvisionBatch   = 50 // machines asked for by one request
	maxProvisionRetries = 5
	// A pool without capacity is not asked again for minPoolBackoff, which doubles with
	// each refusal up to maxPoolBackoff.
	minPoolBackoff = 15 * time.Second
	maxPoolBackoff = 2 * time.Minute
)

// poolBackoff is how long a pool without capacity is not asked.
type poolBackoff struct {
	until    event.Time
	duration time.Duration
}

// provisionRequest asks for machines. The cloud carries out a name once, however often
// it is repeated.
type provisionRequest struct {
	name    string
	pool    machinePool
	count   int
	retries int // how often it was repeated
}

// provisionRetry is a request for machines that is to be repeated.
type provisionRetry struct {
	at      event.Time
	request provisionRequest
}

// provisioner asks the cloud for machines.
type provisioner struct {
	cloud   *cloudClient
	names   *pipeline.Names
	workers *worker.Registry
	booting *bootingMachines
	log     *slog.Logger

	serial    int                 // of the last request in this term
	requested map[machinePool]int // machines asked for, without a response yet
	backoffs  map[machinePool]poolBackoff
	retries   []provisionRetry

	replanRequested bool // a response calls for another plan at once
}

// reset drops what only a leader knows.
func (p *provisioner) reset() {
	p.serial = 0
	p.requested = map[machinePool]int{}
	p.backoffs = map[machinePool]poolBackoff{}
	p.retries = nil
}

// delayRecordWrite notes that a pool has no capacity.
func (p *provisioner) backOff(pool machinePool, now event.Time) {
	duration := min(maxPoolBackoff, max(minPoolBackoff, 2*p.backoffs[pool].duration))
	p.backoffs[pool] = poolBackoff{until: now + duration, duration: duration}
}

// backingOff reports whether a pool is not to be asked now.
func (p *provisioner) backingOff(pool machinePool, now event.Time) bool {
	return now < p.backoffs[pool].until
}

// clearBackoff notes that a pool has capacity again.
func (p *provisioner) clearBackoff(pool machinePool) {
	delete(p.backoffs, pool)
}

// provision asks for machines of a pool. The caller has checked that the cloud client
// is ready. The request's name contains the term's fencing token, so that no other
// leader ever uses it.
func (p *provisioner) provision(pool machinePool, count int, fencingToken uint64, out *event.Effects) {
	p.serial++
	p.requested[pool] += count
	name := fmt.Sprintf("t%d-%d", fencingToken, p.serial)
	p.send(provisionRequest{name: name, pool: pool, count: count}, out)
}

// sendRetries repeats the requests that are due.
func (p *provisioner) sendRetries(now event.Time, out *event.Effects) {
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
	p.cloud.post(machinesPath, provisionMessage(request, p.names), func(now event.Time, response response) {
		p.handleResponse(now, request, response)
	}, out)
}

// handleResponse takes the response to a request for machines.
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

// retryLater repeats a request after a pause. The cloud may have carried it out: only a
// repetition under the same name is sure not to provision twice.
func (p *provisioner) retryLater(now event.Time, request provisionRequest) {
	request.retries++
	p.retries = append(p.retries, provisionRetry{at: now + errorPause, request: request})
}

// finish notes that a request is over.
func (p *provisioner) finish(request provisionRequest) {
	p.requested[request.pool] -= request.count
	if p.requested[request.pool] <= 0 {
		delete(p.requested, request.pool)
	}
}

// addProvisioned takes the machines that the cloud has provisioned.
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
		p.booting.add(machine, &bootingMachine{pool: pool, since: now, provisionedHere: true})
	}
	if len(machines) < request.count {
		p.backOff(pool, now)
	}
}
