package autoscaler

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"lugward/internal/event"
)

const (
	maxProvisionBatch   = 50 // machines asked for by one request
	maxProvisionRetries = 5
	// An offer that is sold out is not asked for again for retryPause, which
	// doubles with each refusal up to refusedPauseMax.
	refusedPause    = 15 * time.Second
	refusedPauseMax = 2 * time.Minute
)

// noCapacity is the cloud's error for an offer that is sold out.
const noCapacity = "no capacity"

// provisioning holds what was asked of the cloud and what it refused.
type provisioning struct {
	serial    int           // of the last request in this term
	requested map[offer]int // machines asked for, without a response yet
	refused   map[offer]refusal
	overdue   map[offer]bool // offers with overdue machines, as the plan began
}

// reset drops what only a leader knows.
func (p *provisioning) reset() {
	p.requested = map[offer]int{}
	p.refused = map[offer]refusal{}
}

// refusal is what is known of an offer that is sold out.
type refusal struct {
	until event.Time
	pause time.Duration
}

// refuse notes that an offer is sold out.
func (p *provisioning) refuse(offer offer, now event.Time) {
	pause := min(refusedPauseMax, max(refusedPause, 2*p.refused[offer].pause))
	p.refused[offer] = refusal{now + pause, pause}
}

// finished notes that a request for machines of an offer is over.
func (p *provisioning) finished(offer offer, count int) {
	p.requested[offer] -= count
	if p.requested[offer] <= 0 {
		delete(p.requested, offer)
	}
}

// wireProvision is the request for machines in the cloud's protocol.
type wireProvision struct {
	MachineType string `json:"flavor"`
	Name        string `json:"hire"`
	Spot        bool   `json:"loaners"`
	Count       int    `json:"number"`
	Zone        string `json:"yard"`
}

// wireProvisioned is the response to it.
type wireProvisioned struct {
	Machines []string `json:"hosts"`
	Error    string   `json:"error"`
}

// provisionRequest asks for machines. The cloud carries out a name once, however
// often it is repeated.
type provisionRequest struct {
	name    string
	offer   offer
	count   int
	retries int // how often it was repeated
}

// provision asks for machines. The request's name contains the term, so that no
// other leader ever uses it.
func (a *Autoscaler) provision(offer offer, count int, term uint64, out *event.Effects) {
	a.provisioning.serial++
	a.provisioning.requested[offer] += count
	name := fmt.Sprintf("t%d-%d", term, a.provisioning.serial)
	a.sendProvision(provisionRequest{name: name, offer: offer, count: count}, out)
}

func (a *Autoscaler) sendProvision(request provisionRequest, out *event.Effects) {
	body, _ := json.Marshal(wireProvision{
		MachineType: a.names.MachineTypes.Name(request.offer.machineType),
		Name:        request.name,
		Spot:        request.offer.spot,
		Count:       request.count,
		Zone:        a.names.Zones.Name(request.offer.zone),
	})
	a.call(http.MethodPost, "/rentals", body, request, out)
}

func (r provisionRequest) finish(a *Autoscaler, now event.Time, response response, _ *event.Effects) {
	var result wireProvisioned
	err := json.Unmarshal(response.body, &result)
	soldOut := response.status == http.StatusServiceUnavailable && result.Error == noCapacity
	switch {
	case response.status == http.StatusOK && err == nil:
		a.machinesProvisioned(r, result.Machines, now)
	case soldOut || response.status == http.StatusBadRequest:
		a.provisioning.refuse(r.offer, now)
	case r.retries < maxProvisionRetries:
		// The cloud may have carried the request out: only a repetition under the
		// same name is sure not to provision twice.
		if response.status != 0 {
			a.cloud.pausedUntil = now + errorPause
		}
		r.retries++
		a.cloud.retries = append(a.cloud.retries, provisionRetry{now + errorPause, r})
		return
	}
	a.replanRequested = true
	a.provisioning.finished(r.offer, r.count)
}

// machinesProvisioned takes in the machines that the cloud provides.
func (a *Autoscaler) machinesProvisioned(request provisionRequest, machines []string, now event.Time) {
	offer := request.offer
	a.log.Info("provisioned", "request", request.name, "machine_type", a.names.MachineTypes.Name(offer.machineType),
		"spot", offer.spot, "asked", request.count, "got", len(machines))
	for _, name := range machines {
		machine := a.workers.Add(name, now)
		if machine.LastHeartbeat() != 0 {
			continue // it reported before the response arrived
		}
		machine.Describe(offer.machineType, offer.zone, offer.spot)
		a.booting[machine.Index] = &bootingMachine{offer: offer, since: now, ours: true}
	}
	if len(machines) < request.count {
		a.provisioning.refuse(offer, now)
	}
}
