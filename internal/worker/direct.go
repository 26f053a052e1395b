package worker

import (
	"encoding/json"
	"net/http"
	"time"

	"lugward/internal/event"
)

const (
	announceInterval = 10 * time.Second // between two announcements to a machine
	directTimeout    = 3 * time.Second  // of a direct command
)

// firstIncarnation is the first session of a worker.
const firstIncarnation = 1

// directCommand is a command to a worker outside of the answers to its reports.
type directCommand struct {
	FencingToken uint64    `json:"fence"`
	Incarnation  uint64    `json:"tenure"`
	Commands     []Command `json:"orders"`
}

// directCall is a direct command in flight.
type directCall struct {
	// announcedTo is the machine that our fencing token is announced to; nil where a
	// refusal changes nothing.
	announcedTo *Machine
}

// sendCommand sends a direct command.
func (r *Registry) sendCommand(machine *Machine, command directCommand, call directCall, out *event.Effects) {
	body, _ := json.Marshal(command)
	r.calls[out.Call(machine.addr, http.MethodPost, "/do", body, directTimeout)] = call
}

// AnnounceToken tells a machine our fencing token by a command without orders. A
// leader that lost the state service and the other controllers, but not its
// workers, may answer them for its whole grace. Workers that know a higher fencing token
// show it in their next report, which ends that, and report to us. The proof of silence does not rest on it.
func (r *Registry) AnnounceToken(machine *Machine, now event.Time, term Leadership, out *event.Effects) {
	if machine.addr == "" {
		return
	}
	if machine.lastAnnouncement != 0 && now-machine.lastAnnouncement < announceInterval {
		return
	}
	machine.lastAnnouncement = now
	session := max(machine.incarnation, firstIncarnation)
	command := directCommand{term.FencingToken(), session, []Command{}}
	r.announcing++
	r.sendCommand(machine, command, directCall{announcedTo: machine}, out)
}

// Announcing counts the announcements in flight.
func (r *Registry) Announcing() int { return r.announcing }

// HandleCallResult takes the outcome of a direct command; it tells whether the call was the
// registry's. The worker's next report tells what became of a command. Only where
// an announcement named the wrong session it is repeated with the right one, once.
func (r *Registry) HandleCallResult(done event.CallResult, term Leadership, out *event.Effects) bool {
	call, ok := r.calls[done.ID]
	if !ok {
		return false
	}
	delete(r.calls, done.ID)
	if call.announcedTo != nil {
		r.announcing--
	}
	if call.announcedTo == nil || done.Status != http.StatusConflict {
		return true
	}
	report, err := parseHeartbeat(done.Body)
	if err == nil && report.FencingToken < term.FencingToken() {
		command := directCommand{term.FencingToken(), report.Incarnation, []Command{}}
		r.sendCommand(call.announcedTo, command, directCall{}, out)
	}
	return true
}
