package worker

import (
	"encoding/json"
	"net/http"
	"time"

	"lugward/internal/event"
)

const (
	announceInterval     = 10 * time.Second // minimum time between two announcements to a machine
	directCommandTimeout = 3 * time.Second
)

// firstIncarnation is the number of the first incarnation of a worker.
const firstIncarnation = 1

// directCall is a direct command in flight. Direct commands are sent to a worker outside
// of the responses to its heartbeats.
type directCall struct {
	// announcedTo is the machine to which the fencing token is announced. It is nil if a
	// refusal of the command needs no action.
	announcedTo *Machine
}

// directCalls holds the direct commands in flight.
type directCalls struct {
	inFlight      map[uint64]directCall // by call ID
	announcements int                   // number of announcements in inFlight
}

// sendCommand sends a direct command to the worker of a machine.
func (r *Registry) sendCommand(machine *Machine, command directCommand, call directCall, out *event.Effects) {
	body, _ := json.Marshal(command)
	r.calls.inFlight[out.Call(machine.addr, http.MethodPost, pathDirectCommand, body, directCommandTimeout)] = call
}

// AnnounceToken sends a machine the fencing token of this term in a direct command with
// an empty list of commands. A previous leader that has lost its connections to the state
// service and the other controllers, but not to its workers, may answer their heartbeats
// for its whole grace period. A worker that knows a higher fencing token includes it in
// its next heartbeat. The previous leader then stops answering, and the worker turns to
// this controller. The proof that tasks have terminated does not depend on announcements.
func (r *Registry) AnnounceToken(machine *Machine, now event.Time, leadership Leadership, out *event.Effects) {
	if machine.addr == "" {
		return
	}
	if machine.lastAnnouncement != 0 && now-machine.lastAnnouncement < announceInterval {
		return
	}
	machine.lastAnnouncement = now
	incarnation := max(machine.incarnation, firstIncarnation)
	command := directCommand{leadership.FencingToken(), incarnation, []Command{}}
	r.calls.announcements++
	r.sendCommand(machine, command, directCall{announcedTo: machine}, out)
}

// AnnouncementsInFlight returns the number of announcements of the fencing token whose
// outcome is not known yet.
func (r *Registry) AnnouncementsInFlight() int { return r.calls.announcements }

// HandleCallResult handles the outcome of a direct command. It reports whether the call
// belongs to the registry. Outcomes are ignored, because the next heartbeat of the worker
// shows the effect of a command. The exception is an announcement with the wrong
// incarnation: it is repeated once with the right one.
func (r *Registry) HandleCallResult(done event.CallResult, leadership Leadership, out *event.Effects) bool {
	call, ok := r.calls.inFlight[done.ID]
	if !ok {
		return false
	}
	delete(r.calls.inFlight, done.ID)
	if call.announcedTo == nil {
		return true
	}
	r.calls.announcements--
	if done.Status != http.StatusConflict {
		return true
	}
	heartbeat, err := parseHeartbeat(done.Body)
	if err == nil && heartbeat.FencingToken < leadership.FencingToken() {
		command := directCommand{leadership.FencingToken(), heartbeat.Incarnation, []Command{}}
		r.sendCommand(call.announcedTo, command, directCall{}, out)
	}
	return true
}
