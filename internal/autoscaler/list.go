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
	listInterval = 10 * time.Second // between two readings of the machine list
	listLimit    = 500              // machines on a page
)

// Phases of a machine in the cloud's protocol.
const (
	phaseBooting = "booting"
	phaseRunning = "running"
	phaseFailed  = "failed"
)

// listProgress is the state of reading the cloud's machine list.
type listProgress struct {
	inFlight    bool
	requestedAt event.Time
	planFrom    event.Time // plans need a list that was requested after this
	current     bool       // such a list has been read
}

func (l *listProgress) reset() {
	l.inFlight = false
	l.requestedAt = -listInterval
	l.current = false
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
type listRequest struct {
	requestedAt event.Time
}

// readList reads the cloud's machine list from a machine on: it shows machines that
// the registry does not know.
func (a *Autoscaler) readList(now event.Time, from string, out *event.Effects) {
	a.list.inFlight = true
	a.list.requestedAt = now
	path := fmt.Sprintf("/rentals?limit=%d", listLimit)
	if from != "" {
		path += "&from=" + from
	}
	a.call(http.MethodGet, path, nil, listRequest{now}, out)
}

func (r listRequest) finish(a *Autoscaler, now event.Time, response response, out *event.Effects) {
	a.list.inFlight = false
	var page wireList
	if response.status != http.StatusOK || json.Unmarshal(response.body, &page) != nil {
		return
	}
	for i := range page.Machines {
		a.observeListed(&page.Machines[i], now)
	}
	if page.More && len(page.Machines) > 0 {
		last := page.Machines[len(page.Machines)-1]
		a.readList(now, last.Name, out)
	} else if r.requestedAt >= a.list.planFrom {
		a.list.current = true
	}
}

// observeListed takes in what the list says of a machine.
func (a *Autoscaler) observeListed(listed *wireMachine, now event.Time) {
	if listed.Name == "" || a.retirements.stored[listed.Name] != 0 || a.retirements.releasing[listed.Name] {
		return
	}
	releasedAt, released := a.retirements.released[listed.Name]
	if released && now-releasedAt < 2*a.cfg.ListLag+listInterval {
		return // the list is older than the release
	}
	machine := a.workers.Machine(listed.Name, now)
	if machine.Addr == "" {
		machine.Addr = listed.Addr
	}
	if !machine.Known {
		machine.Describe(a.names.MachineTypes.Index(listed.Type), a.names.Zones.Index(listed.Zone), listed.Spot)
	}
	if listed.Phase == phaseFailed {
		machine.Retiring = true // the next tick stores that and releases it
		return
	}
	if machine.LastReport == 0 {
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
