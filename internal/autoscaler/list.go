package autoscaler

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"lugward/internal/event"
	"lugward/internal/worker"
)

const (
	listInterval = 10 * time.Second // least time between two readings of the machine list
	listLimit    = 500              // machines on a page
	// listShare is the part of the cloud's rate that reading the list may take: the
	// more machines, the more pages it has, and the rest is for provisioning and
	// releasing.
	listShare = 0.25
)

// Phases of a machine in the cloud's protocol.
const (
	phaseBooting = "booting"
	phaseRunning = "running"
	phaseFailed  = "failed"
)

// listProgress is the state of reading the cloud's machine list.
type listProgress struct {
	inFlight  bool       // a page is asked for
	reading   bool       // pages of the present reading are left
	after     string     // the machine behind which its next page begins
	startedAt event.Time // when its first page was asked for
	pages     int        // of it so far
	planFrom  event.Time // plans need a list that was read after this
	current   bool       // such a list has been read
}

func (l *listProgress) reset() {
	*l = listProgress{startedAt: -listInterval}
}

// interval is the time from the beginning of one reading to that of the next.
func (l *listProgress) interval(rps float64) time.Duration {
	seconds := float64(l.pages) / (listShare * rps)
	return max(listInterval, time.Duration(seconds*float64(time.Second)))
}

// due tells whether a page is to be asked for.
func (l *listProgress) due(now event.Time, rps float64) bool {
	if l.inFlight {
		return false
	}
	return l.reading || now-l.startedAt >= l.interval(rps)
}

// expedite lets the next reading begin at once.
func (l *listProgress) expedite(now event.Time, rps float64) {
	if !l.reading {
		l.startedAt = now - l.interval(rps)
	}
}

// bootingMachine is a provisioned machine that has not reported yet.
type bootingMachine struct {
	offer
	since event.Time
	up    bool       // running by the cloud's list, though it has not reported to us
	idle  event.Time // since when no task is planned for it, 0: one is
	ours  bool       // provisioned in this term
}

// wireMachine is a machine in the cloud's protocol.
type wireMachine struct {
	Name        string  `json:"name_id"`
	Addr        string  `json:"addr"`
	Type        string  `json:"flavor"`
	Zone        string  `json:"yard"`
	Spot        bool    `json:"loaners"`
	Phase       string  `json:"phase"`
	HeldSeconds float64 `json:"held_s"` // since it was provisioned
}

// wireList is a page of the cloud's machine list.
type wireList struct {
	Machines []wireMachine `json:"hosts"`
	More     bool          `json:"has_next"`
}

// listRequest asks for a page of the machine list.
type listRequest struct{}

// readList asks for the next page of the cloud's machine list, which shows machines
// that the registry does not know. The caller has checked that the cloud's rate
// allows it: a list of many pages, read as fast as they come, would be refused
// before its end, every time.
func (a *Autoscaler) readList(now event.Time, out *event.Effects) {
	list := &a.list
	if !list.reading {
		list.reading = true
		list.startedAt = now
		list.after = ""
		list.pages = 0
	}
	list.inFlight = true
	path := fmt.Sprintf("/rentals?limit=%d", listLimit)
	if list.after != "" {
		path += "&from=" + list.after
	}
	a.call(http.MethodGet, path, nil, listRequest{}, out)
}

// finish takes in a page. One that did not come is asked for again.
func (r listRequest) finish(a *Autoscaler, now event.Time, response response, _ *event.Effects) {
	list := &a.list
	list.inFlight = false
	var page wireList
	if response.status != http.StatusOK || json.Unmarshal(response.body, &page) != nil {
		return
	}
	list.pages++
	for i := range page.Machines {
		a.observeListed(&page.Machines[i], now)
	}
	if page.More && len(page.Machines) > 0 {
		list.after = page.Machines[len(page.Machines)-1].Name
		return
	}
	list.reading = false
	if list.startedAt >= list.planFrom {
		list.current = true
	}
}

// observeListed takes in what the list says of a machine.
func (a *Autoscaler) observeListed(listed *wireMachine, now event.Time) {
	if listed.Name == "" || a.decommissions.stored[listed.Name] != 0 || a.decommissions.releasing[listed.Name] {
		return
	}
	releasedAt, released := a.decommissions.released[listed.Name]
	if released && now-releasedAt < 2*a.cfg.ListLag+listInterval {
		return // the list is older than the release
	}
	machine := a.workers.Add(listed.Name, now)
	machine.NoteListedAddr(listed.Addr)
	if !machine.Known() {
		machine.Describe(a.names.MachineTypes.Index(listed.Type), a.names.Zones.Index(listed.Zone), listed.Spot)
	}
	if listed.Phase == phaseFailed {
		machine.StartDecommission() // the next tick stores that and releases it
		return
	}
	if machine.LastHeartbeat() == 0 {
		a.observeUnreported(machine, listed, now)
	}
}

// observeUnreported takes in what the list says of a machine that has not reported.
// One that is running counts as booting until it reports or is released.
func (a *Autoscaler) observeUnreported(machine *worker.Machine, listed *wireMachine, now event.Time) {
	known := a.booting[machine.Index]
	switch {
	case listed.Phase == phaseBooting && known == nil:
		held := time.Duration(listed.HeldSeconds * float64(time.Second))
		a.booting[machine.Index] = &bootingMachine{offer: offerOf(machine), since: now - held}
	case listed.Phase == phaseRunning && (known == nil || !known.up):
		a.booting[machine.Index] = &bootingMachine{offer: offerOf(machine), since: now, up: true}
	}
}
