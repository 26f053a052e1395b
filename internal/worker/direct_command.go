package worker

import (
	"encoding/json"
	"net/http"
	"time"

	"lugward/internal/event"
)

const (
	announceInterval     = 10 * time.Second // between two announcements to a machine
	directCommandTimeout = 3 * time.Second
)

// firstIncarnation is the first incarnation of a worker.
const firstIncarnation = 1

// directCall is a direct command in flight: one outside of the responses to heartbeats.
type directCall struct {
	// announcedTo is the machine that our fencing token is announced to; nil where a
	// refusal changes nothing.
	announcedTo *Machine
}

// directCalls are the direct commands in flight.
type directCalls struct {
	inFlight      map[uint64]directCall // by call
	announcements int                   // of these
}

// sendCommand sends a direct command.
func (r *Registry) sendCommand(machine *Machine, command directCommand, call directCall, out *event.Effects) {
	body, _ := json.Marshal(command)
	r.calls.inFlight[out.Call(machine.addr, http.MethodPost, pathDirectCommand, body, directCommandTimeout)] = call
}

// AnnounceToken tells a machine our fencing token by a direct command without commands
// to tasks. A leader that lost the state service and the other controllers, but not its
// workers, may answer them for its whole grace period. Workers that know a higher
// fencing token show it in their next heartbeat, which ends that, and come to us. The
// proof that tasks have terminated does not rest on it.
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

// AnnouncementsInFlight counts the announcements of our fencing token that have no
// outcome yet.
func (r *Registry) AnnouncementsInFlight() int { return r.calls.announcements }

// HandleCallResult takes the outcome of a direct command; it reports whether the call was
// the registry's. The worker's next heartbeat tells what became of a command. Only an
// announcement that named the wrong incarnation is repeated with the right one, once.
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
