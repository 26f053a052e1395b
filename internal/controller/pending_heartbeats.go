package controller

import (
	"iter"
	"time"

	"lugward/internal/event"
	"lugward/internal/pipeline"
	"lugward/internal/worker"
)

const (
	// heartbeatAnswerTimeout: a worker's heartbeat is answered when its consequences
	// are stored, or after this. A write takes milliseconds; a slow one is not
	// waited for.
	heartbeatAnswerTimeout = 400 * time.Millisecond
	// idleHeartbeatAnswerTimeout is how long the heartbeat of a machine without tasks
	// waits: nothing can change there, and a start that is decided meanwhile need
	// not wait for the next heartbeat. The worker waits for 4 s.
	idleHeartbeatAnswerTimeout = 2500 * time.Millisecond
	// idleSocketDivisor: waiting heartbeats of idle machines take 1/4 of all sockets
	// at most, as other machines may need the rest.
	idleSocketDivisor = 4
)

// pendingHeartbeat is a worker's heartbeat that was accepted and is not answered yet.
type pendingHeartbeat struct {
	replyTo    replyTarget
	heartbeat  *worker.Heartbeat
	machine    pipeline.MachineIndex // index
	receivedAt event.Time
	idle       bool // its machine is idle, so it waits for idleHeartbeatAnswerTimeout
	answered   bool
}

// pendingHeartbeats are the heartbeats of workers that wait for their answers, one
// for each machine at most. With a thousand machines some hundred wait at any time,
// so one is reviewed only when something about its machine has changed, when a
// scheduling round is over, or when its timeout has passed.
type pendingHeartbeats struct {
	byMachine map[pipeline.MachineIndex]*pendingHeartbeat
	// Queues by time, oldest first. A heartbeat that is answered, or has moved to
	// the queue of idle machines, leaves a queue when it comes to the head.
	queue        []*pendingHeartbeat     // due after heartbeatAnswerTimeout
	idleQueue    []*pendingHeartbeat     // due after idleHeartbeatAnswerTimeout
	idleCount    int                     // unanswered ones in idleQueue
	idleLimit    int                     // of idleCount, so that sockets are left for others
	toReview     []pipeline.MachineIndex // machines whose heartbeats are to be reviewed
	roundAwaited bool                    // at the last review a change waited for its round
}

func newPendingHeartbeats(idleLimit int) pendingHeartbeats {
	return pendingHeartbeats{byMachine: map[pipeline.MachineIndex]*pendingHeartbeat{}, idleLimit: idleLimit}
}

// add adds a heartbeat. It returns the one that the same machine has sent before, if
// that still waited; the caller answers it.
func (p *pendingHeartbeats) add(pending *pendingHeartbeat) (replaced *pendingHeartbeat) {
	replaced = p.byMachine[pending.machine]
	if replaced != nil {
		p.markAnswered(replaced)
	}
	p.byMachine[pending.machine] = pending
	p.queue = append(p.queue, pending)
	p.toReview = append(p.toReview, pending.machine)
	return replaced
}

// get returns the heartbeat of a machine that waits, nil if there is none.
func (p *pendingHeartbeats) get(machine pipeline.MachineIndex) *pendingHeartbeat {
	return p.byMachine[machine]
}

// empty reports whether no heartbeat waits.
func (p *pendingHeartbeats) empty() bool { return len(p.byMachine) == 0 }

// markAnswered takes a heartbeat off those that wait.
func (p *pendingHeartbeats) markAnswered(pending *pendingHeartbeat) {
	pending.answered = true
	if pending.idle {
		p.idleCount--
	}
	if p.byMachine[pending.machine] == pending {
		delete(p.byMachine, pending.machine)
	}
}

// markIdle lets a heartbeat wait for idleHeartbeatAnswerTimeout.
func (p *pendingHeartbeats) markIdle(pending *pendingHeartbeat) {
	if pending.idle {
		return
	}
	pending.idle = true
	p.idleCount++
	p.idleQueue = append(p.idleQueue, pending)
}

// takeToReview returns the machines whose heartbeats are to be reviewed: those of new
// heartbeats and those that have changed.
func (p *pendingHeartbeats) takeToReview(changed []pipeline.MachineIndex) []pipeline.MachineIndex {
	machines := p.toReview
	p.toReview = nil
	return append(machines, changed...)
}

// appendAfterRound appends the machines of the heartbeats that waited for a
// scheduling round, if that is over.
func (p *pendingHeartbeats) appendAfterRound(machines []pipeline.MachineIndex, roundRequested bool) []pipeline.MachineIndex {
	roundOver := p.roundAwaited && !roundRequested
	p.roundAwaited = roundRequested
	if !roundOver {
		return machines
	}
	for _, pending := range p.queue {
		if pending.waitsInQueue() {
			machines = append(machines, pending.machine)
		}
	}
	return machines
}

// nextOverdue returns the oldest heartbeat that has waited for heartbeatAnswerTimeout
// and was not found to be of an idle machine, nil if there is none.
func (p *pendingHeartbeats) nextOverdue(now event.Time) *pendingHeartbeat {
	oldest := head(&p.queue, (*pendingHeartbeat).waitsInQueue)
	if oldest == nil || now-oldest.receivedAt < heartbeatAnswerTimeout {
		return nil
	}
	return oldest
}

// nextOverdueIdle returns the oldest heartbeat of an idle machine, if it has waited for
// idleHeartbeatAnswerTimeout or more of them wait than may, else nil.
func (p *pendingHeartbeats) nextOverdueIdle(now event.Time) *pendingHeartbeat {
	oldest := head(&p.idleQueue, (*pendingHeartbeat).waits)
	if oldest == nil {
		return nil
	}
	if now-oldest.receivedAt < idleHeartbeatAnswerTimeout && p.idleCount <= p.idleLimit {
		return nil
	}
	return oldest
}

// all iterates over the heartbeats that wait. They may be answered meanwhile.
func (p *pendingHeartbeats) all() iter.Seq[*pendingHeartbeat] {
	return func(yield func(*pendingHeartbeat) bool) {
		for _, queue := range [][]*pendingHeartbeat{p.queue, p.idleQueue} {
			for _, pending := range queue {
				if pending.waits() && !yield(pending) {
					return
				}
			}
		}
	}
}

// dropQueues empties the queues once all heartbeats are answered.
func (p *pendingHeartbeats) dropQueues() {
	p.queue = nil
	p.idleQueue = nil
}

// waits reports whether the heartbeat still has to be answered.
func (p *pendingHeartbeat) waits() bool { return !p.answered }

// waitsInQueue reports whether the heartbeat waits for heartbeatAnswerTimeout.
func (p *pendingHeartbeat) waitsInQueue() bool { return !p.answered && !p.idle }

// head returns the first heartbeat of a queue that still belongs there, nil if there
// is none, and drops those before it.
func head(queue *[]*pendingHeartbeat, belongs func(*pendingHeartbeat) bool) *pendingHeartbeat {
	for len(*queue) > 0 {
		first := (*queue)[0]
		if belongs(first) {
			return first
		}
		(*queue)[0] = nil // for the garbage collector
		*queue = (*queue)[1:]
	}
	return nil
}
