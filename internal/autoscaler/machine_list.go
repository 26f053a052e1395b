package autoscaler

import (
	"net/http"
	"time"

	"lugward/internal/event"
	"lugward/internal/pipeline"
	"lugward/internal/worker"
)

const (
	listInterval = 10 * time.Second // least time between two readings of the machine list
	listPageSize = 500              // machines on a page
	// listRateShare is the part of the cloud's rate that reading the list may take: the
	// more machines, the more pages it has, and the rest is for provisioning and
	// releasing.
	listRateShare = 0.25
)

// machineListReader reads the cloud's machine list page by page.
type machineListReader struct {
	cloud   *cloudClient
	lag     time.Duration                             // by which the list may be out of date
	observe func(listed *wireMachine, now event.Time) // takes a machine of the list

	inFlight  bool       // a page is asked for
	reading   bool       // pages of the present reading are left
	after     string     // the machine behind which its next page begins
	startedAt event.Time // when its first page was asked for
	pages     int        // of it so far
	validFrom event.Time // a reading that began before this may miss machines
	upToDate  bool       // a reading that began at validFrom or later is complete
}

// reset drops the present reading and lets the next one begin at once.
func (r *machineListReader) reset() {
	r.inFlight = false
	r.reading = false
	r.after = ""
	r.startedAt = -listInterval
	r.pages = 0
	r.validFrom = 0
	r.upToDate = false
}

// beginTerm makes the list count as out of date until it is read in the new term. What a
// leader before us provisioned last may be missing from the list for a while: a plan by
// an older list would provision it twice.
func (r *machineListReader) beginTerm(now event.Time, fencingToken uint64) {
	r.validFrom = now
	if fencingToken > 1 {
		r.validFrom += r.lag
	}
}

// interval is the time from the beginning of one reading to that of the next.
func (r *machineListReader) interval() time.Duration {
	seconds := float64(r.pages) / (listRateShare * r.cloud.rps)
	return max(listInterval, time.Duration(seconds*float64(time.Second)))
}

// due reports whether a page is to be asked for.
func (r *machineListReader) due(now event.Time) bool {
	if r.inFlight {
		return false
	}
	return r.reading || now-r.startedAt >= r.interval()
}

// expedite lets the next reading begin at once if it will be up to date.
func (r *machineListReader) expedite(now event.Time) {
	if now >= r.validFrom && !r.reading {
		r.startedAt = now - r.interval()
	}
}

// requestPage asks for the next page if that is due. The list shows machines that the
// registry does not know. Reading keeps to the cloud's rate: a list of many pages,
// read as fast as they come, would be refused before its end, every time.
func (r *machineListReader) requestPage(now event.Time, out *event.Effects) {
	if !r.due(now) || !r.cloud.ready(now) {
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

// handleResponse takes a page. One that did not come, or is malformed, is asked for
// again.
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
		r.observe(&page.Machines[i], now)
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

// listedMachines takes what the cloud's list says of the machines.
type listedMachines struct {
	names         *pipeline.Names
	workers       *worker.Registry
	booting       *bootingMachines
	decommissions *decommissions
	listLag       time.Duration // by which the list may be out of date
}

// observe takes what the list says of a machine.
func (l *listedMachines) observe(listed *wireMachine, now event.Time) {
	if listed.Name == "" || l.decommissions.isLeaving(listed.Name) {
		return
	}
	releasedAt, released := l.decommissions.releasedAt(listed.Name)
	if released && now-releasedAt < 2*l.listLag+listInterval {
		return // the list is older than the release
	}
	machine := l.workers.Add(listed.Name, now)
	machine.NoteListedAddr(listed.Addr)
	if !machine.Known() {
		pool := listed.pool(l.names)
		machine.Describe(pool.machineType, pool.zone, pool.spot)
	}
	if listed.Phase == phaseFailed {
		machine.StartDecommission() // the next scan stores that
		return
	}
	if machine.LastHeartbeat() == 0 {
		l.observeUnregistered(machine, listed, now)
	}
}

// observeUnregistered takes what the list says of a machine that has sent no
// heartbeat. One that is running counts as booting until it registers or is released.
func (l *listedMachines) observeUnregistered(machine *worker.Machine, listed *wireMachine, now event.Time) {
	known := l.booting.get(machine.Index)
	switch {
	case listed.Phase == phaseBooting && known == nil:
		age := time.Duration(listed.AgeSeconds * float64(time.Second))
		l.booting.add(machine, &bootingMachine{pool: poolOf(machine), since: now - age})
	case listed.Phase == phaseRunning && (known == nil || !known.running):
		l.booting.add(machine, &bootingMachine{pool: poolOf(machine), since: now, running: true})
	}
}
