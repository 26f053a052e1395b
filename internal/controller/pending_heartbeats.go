package controller

import (
	"iter"
	"time"

	"lugward/internal/event"
	"lugward/internal/pipeline"
	"lugward/internal/worker"
)

const (
	// heartbeatResponseTimeout is how long the response to a worker's heartbeat waits until
	// the resulting changes are persisted. A write takes milliseconds; the response does
	// not wait for slower writes.
	heartbeatResponseTimeout = 400 * time.Millisecond
	// extendedResponseTimeout is how long the response to the heartbeat of a machine
	// waits if it may soon start a task. The state of a machine without tasks cannot
	// change, and a task that is assigned to it meanwhile starts with this response
	// instead of the next one. The same holds for a task that is only waiting until the
	// watch cache has been refreshed. The timeout is below the 4 s that the worker waits
	// for a response.
	extendedResponseTimeout = 2500 * time.Millisecond
	// extendedSocketDivisor limits the pending heartbeats with the extended timeout to 1/4
	// of all sockets, because other machines may need the rest.
	extendedSocketDivisor = 4
)

// pendingHeartbeat is a worker's heartbeat that has been handled but not answered yet.
type pendingHeartbeat struct {
	replyTo    replyTarget
	heartbeat  *worker.Heartbeat
	machine    pipeline.MachineIndex
	receivedAt event.Time
	extended   bool // the response may wait for extendedResponseTimeout
	answered   bool
}

// pendingHeartbeats holds the heartbeats of workers that have not been answered yet, at
// most one per machine. With a thousand machines, about a hundred are pending at any
// time. To limit the work, a heartbeat is checked only when something about its machine
// has changed, when a scheduling round has finished, or when its timeout has passed.
type pendingHeartbeats struct {
	byMachine map[pipeline.MachineIndex]*pendingHeartbeat
	// Queues in the order of arrival, oldest first. A heartbeat that has been answered
	// or has moved to extendedQueue is removed from a queue only when it reaches the head.
	queue             []*pendingHeartbeat     // due after heartbeatResponseTimeout
	extendedQueue     []*pendingHeartbeat     // due after extendedResponseTimeout
	extendedCount     int                     // unanswered heartbeats in extendedQueue
	extendedLimit     int                     // maximum of extendedCount, which leaves sockets for other machines
	toCheck           []pipeline.MachineIndex // machines whose heartbeats have to be checked
	awaitingView      []pipeline.MachineIndex // machines whose heartbeats have to be checked once tasks may be started
	roundWasRequested bool                    // whether a scheduling round was requested at the last check
}

func newPendingHeartbeats(extendedLimit int) pendingHeartbeats {
	return pendingHeartbeats{byMachine: map[pipeline.MachineIndex]*pendingHeartbeat{}, extendedLimit: extendedLimit}
}

// add adds a heartbeat. If an earlier heartbeat of the same machine is still pending, it
// is removed and returned, and the caller has to answer it.
func (p *pendingHeartbeats) add(pending *pendingHeartbeat) (replaced *pendingHeartbeat) {
	replaced = p.byMachine[pending.machine]
	if replaced != nil {
		p.markAnswered(replaced)
	}
	p.byMachine[pending.machine] = pending
	p.queue = append(p.queue, pending)
	p.toCheck = append(p.toCheck, pending.machine)
	return replaced
}

// get returns the pending heartbeat of a machine, or nil if there is none.
func (p *pendingHeartbeats) get(machine pipeline.MachineIndex) *pendingHeartbeat {
	return p.byMachine[machine]
}

// empty reports whether no heartbeat is pending.
func (p *pendingHeartbeats) empty() bool { return len(p.byMachine) == 0 }

// markAnswered marks a heartbeat as answered, so that it is no longer pending.
func (p *pendingHeartbeats) markAnswered(pending *pendingHeartbeat) {
	pending.answered = true
	if pending.extended {
		p.extendedCount--
	}
	if p.byMachine[pending.machine] == pending {
		delete(p.byMachine, pending.machine)
	}
}

// extend extends the timeout of a heartbeat to extendedResponseTimeout.
func (p *pendingHeartbeats) extend(pending *pendingHeartbeat) {
	if pending.extended {
		return
	}
	pending.extended = true
	p.extendedCount++
	p.extendedQueue = append(p.extendedQueue, pending)
}

// awaitView extends the timeout of a heartbeat, which has to be checked again once tasks may be
// started.
func (p *pendingHeartbeats) awaitView(pending *pendingHeartbeat) {
	p.extend(pending)
	p.awaitingView = append(p.awaitingView, pending.machine)
}

// drainAwaitingView returns the machines whose heartbeats wait until tasks may be started, and
// clears the list.
func (p *pendingHeartbeats) drainAwaitingView() []pipeline.MachineIndex {
	machines := p.awaitingView
	p.awaitingView = nil
	return machines
}

// drainToCheck returns the machines whose heartbeats have to be checked, and clears the
// list: the machines with new heartbeats, followed by the given changed machines.
func (p *pendingHeartbeats) drainToCheck(changed []pipeline.MachineIndex) []pipeline.MachineIndex {
	machines := p.toCheck
	p.toCheck = nil
	return append(machines, changed...)
}

// appendAfterRound appends the machines whose heartbeats waited for a scheduling round,
// if that round has run since the last call.
func (p *pendingHeartbeats) appendAfterRound(machines []pipeline.MachineIndex, roundRequested bool) []pipeline.MachineIndex {
	roundOver := p.roundWasRequested && !roundRequested
	p.roundWasRequested = roundRequested
	if !roundOver {
		return machines
	}
	for _, pending := range p.queue {
		if pending.belongsInQueue() {
			machines = append(machines, pending.machine)
		}
	}
	return machines
}

// nextOverdue returns the oldest heartbeat that has waited for heartbeatResponseTimeout
// and whose timeout is not extended, or nil if there is none.
func (p *pendingHeartbeats) nextOverdue(now event.Time) *pendingHeartbeat {
	oldest := trimHead(&p.queue, (*pendingHeartbeat).belongsInQueue)
	if oldest == nil || now-oldest.receivedAt < heartbeatResponseTimeout {
		return nil
	}
	return oldest
}

// nextOverdueExtended returns the oldest heartbeat with the extended timeout if that has passed
// or if there are more such heartbeats than extendedLimit. It returns nil otherwise.
func (p *pendingHeartbeats) nextOverdueExtended(now event.Time) *pendingHeartbeat {
	oldest := trimHead(&p.extendedQueue, (*pendingHeartbeat).isUnanswered)
	if oldest == nil {
		return nil
	}
	if now-oldest.receivedAt < extendedResponseTimeout && p.extendedCount <= p.extendedLimit {
		return nil
	}
	return oldest
}

// all iterates over the pending heartbeats. The caller must mark each of them as answered
// during the iteration, because a heartbeat that is still in both queues would otherwise
// be returned twice.
func (p *pendingHeartbeats) all() iter.Seq[*pendingHeartbeat] {
	return func(yield func(*pendingHeartbeat) bool) {
		for _, queue := range [][]*pendingHeartbeat{p.queue, p.extendedQueue} {
			for _, pending := range queue {
				if pending.isUnanswered() && !yield(pending) {
					return
				}
			}
		}
	}
}

// clearQueues empties the queues. All heartbeats must have been answered.
func (p *pendingHeartbeats) clearQueues() {
	p.queue = nil
	p.extendedQueue = nil
	p.awaitingView = nil
}

// isUnanswered reports whether the heartbeat still has to be answered.
func (p *pendingHeartbeat) isUnanswered() bool { return !p.answered }

// belongsInQueue reports whether the heartbeat still belongs in queue: it is unanswered
// and its timeout is not extended.
func (p *pendingHeartbeat) belongsInQueue() bool { return !p.answered && !p.extended }

// trimHead removes the heartbeats at the head of a queue that no longer belong there. It
// returns the first one that remains, or nil if the queue is empty.
func trimHead(queue *[]*pendingHeartbeat, belongs func(*pendingHeartbeat) bool) *pendingHeartbeat {
	for len(*queue) > 0 {
		first := (*queue)[0]
		if belongs(first) {
			return first
		}
		(*queue)[0] = nil // release the heartbeat for garbage collection
		*queue = (*queue)[1:]
	}
	return nil
}
