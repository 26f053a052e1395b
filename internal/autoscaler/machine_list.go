package autoscaler

import (
	"net/http"
	"time"

	"lugward/internal/event"
	"lugward/internal/pipeline"
	"lugward/internal/worker"
)

const (
	listInterval = 10 * time.Second // minimum time between the starts of two reads of the machine list
	listPageSize = 500              // machines per page
	// listRateShare is the share of the cloud's rate limit that reads of the list may
	// use. The number of pages grows with the number of machines, and the rest of the
	// rate is needed to provision and release machines.
	listRateShare = 0.25
)

// machineListReader reads the cloud's machine list page by page.
type machineListReader struct {
	cloud         *cloudClient
	lag           time.Duration                             // maximum staleness of the list
	handleMachine func(listed *wireMachine, now event.Time) // called for each machine of the list

	inFlight  bool       // a page request is pending
	reading   bool       // a read has started and is not complete
	after     string     // name of the last machine of the previous page, empty for the first page
	startedAt event.Time // when the latest read started
	pages     int        // pages received in the latest read
	validFrom event.Time // a read that started earlier may miss machines
	upToDate  bool       // a read that started at validFrom or later is complete
}

// reset aborts the current read and allows the next one to start immediately.
func (r *machineListReader) reset() {
	r.inFlight = false
	r.reading = false
	r.after = ""
	r.startedAt = -listInterval
	r.pages = 0
	r.validFrom = 0
	r.upToDate = false
}

// beginTerm sets the earliest time at which a read of the list may start to be up to date
// in the new term. Machines that a previous leader provisioned last may be missing from
// the list for the lag. A plan based on such a list would provision them twice.
func (r *machineListReader) beginTerm(now event.Time, fencingToken uint64) {
	r.validFrom = now
	if fencingToken > 1 {
		r.validFrom += r.lag
	}
}

// interval returns the time between the starts of two reads.
func (r *machineListReader) interval() time.Duration {
	seconds := float64(r.pages) / (listRateShare * r.cloud.rps)
	return max(listInterval, time.Duration(seconds*float64(time.Second)))
}

// pageDue reports whether it is time to request a page.
func (r *machineListReader) pageDue(now event.Time) bool {
	if r.inFlight {
		return false
	}
	return r.reading || now-r.startedAt >= r.interval()
}

// expedite allows the next read to start immediately if its result would be up to date.
func (r *machineListReader) expedite(now event.Time) {
	if now >= r.validFrom && !r.reading {
		r.startedAt = now - r.interval()
	}
}

// requestPageIfDue requests the next page of the list if one is due. The list is needed
// to find machines that the registry does not contain. Requests are subject to the rate
// limit: if the pages of a long list were requested as fast as they arrive, the cloud
// would reject a request before the end of every read.
func (r *machineListReader) requestPageIfDue(now event.Time, out *event.Effects) {
	if !r.pageDue(now) || !r.cloud.ready(now) {
		return
	}
	if !r.reading {
		r.reading = true
		r.startedAt = now
		r.after = ""
		r.pages = 0
	}
	r.inFlight = true
	r.cloud.get(machineListPath(r.after), r.handleResponse, out)
}

// handleResponse handles the response to a page request. A page that failed or is
// malformed is requested again.
func (r *machineListReader) handleResponse(now event.Time, response response) {
	r.inFlight = false
	if response.status != http.StatusOK {
		return
	}
	page, err := decodeMachineList(response.body)
	if err != nil {
		return
	}
	r.pages++
	for i := range page.Machines {
		r.handleMachine(&page.Machines[i], now)
	}
	if page.HasMore && len(page.Machines) > 0 {
		r.after = page.Machines[len(page.Machines)-1].Name
		return
	}
	r.reading = false
	if r.startedAt >= r.validFrom {
		r.upToDate = true
	}
}

// listedMachineHandler updates the registry and the booting machines from the entries of
// the cloud's machine list.
type listedMachineHandler struct {
	names         *pipeline.Names
	workers       *worker.Registry
	booting       *bootingMachines
	decommissions *decommissions
	listLag       time.Duration // maximum staleness of the list
}

// handle updates the state of one machine of the list.
func (h *listedMachineHandler) handle(listed *wireMachine, now event.Time) {
	if listed.Name == "" || h.decommissions.isDecommissioned(listed.Name) {
		return
	}
	releasedAt, released := h.decommissions.releasedAt(listed.Name)
	if released && now-releasedAt < 2*h.listLag+listInterval {
		return // the list may predate the release
	}
	machine := h.workers.Add(listed.Name, now)
	machine.RecordListedAddr(listed.Addr)
	if !machine.Known() {
		pool := listed.pool(h.names)
		machine.Describe(pool.machineType, pool.zone, pool.spot)
	}
	if listed.Phase == phaseFailed {
		machine.StartDecommission() // the next scan persists it
		return
	}
	if machine.LastHeartbeat() == 0 {
		h.handleUnregistered(machine, listed, now)
	}
}

// handleUnregistered handles a machine of the list that has not sent a heartbeat. A
// running machine counts as booting until it registers or is released.
func (h *listedMachineHandler) handleUnregistered(machine *worker.Machine, listed *wireMachine, now event.Time) {
	booting := h.booting.get(machine.Index)
	switch {
	case listed.Phase == phaseBooting && booting == nil:
		age := time.Duration(listed.AgeSeconds * float64(time.Second))
		h.booting.add(machine, &bootingMachine{pool: poolOf(machine), since: now - age})
	case listed.Phase == phaseRunning && (booting == nil || !booting.running):
		h.booting.add(machine, &bootingMachine{pool: poolOf(machine), since: now, running: true})
	}
}
