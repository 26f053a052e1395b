// Package eventqueue orders the events of a simulation by their virtual time.
package eventqueue

import (
	"container/heap"
	"time"
)

// Queue is a priority queue of actions, ordered by their time. Actions with the same time
// keep the order in which they were pushed. The zero value is an empty queue.
type Queue struct {
	events       eventHeap
	lastSequence int
}

// Push adds an action that is due at the given virtual time.
func (q *Queue) Push(at time.Duration, action func()) {
	q.lastSequence++
	heap.Push(&q.events, event{at: at, sequence: q.lastSequence, action: action})
}

// PopUntil removes the earliest action that is due at or before end, and returns it with its
// time. It returns ok == false if there is none.
func (q *Queue) PopUntil(end time.Duration) (at time.Duration, action func(), ok bool) {
	if len(q.events) == 0 || q.events[0].at > end {
		return 0, nil, false
	}
	next := heap.Pop(&q.events).(event)
	return next.at, next.action, true
}

type event struct {
	at       time.Duration
	sequence int // orders events with the same time
	action   func()
}

// eventHeap implements heap.Interface.
type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || (h[i].at == h[j].at && h[i].sequence < h[j].sequence)
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
