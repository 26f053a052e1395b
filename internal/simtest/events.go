package simtest

import (
	"container/heap"
	"time"
)

type scheduled struct {
	at  time.Duration
	seq int
	do  func()
}

type schedule []scheduled

func (e schedule) Len() int { return len(e) }

func (e schedule) Less(a, b int) bool {
	return e[a].at < e[b].at || (e[a].at == e[b].at && e[a].seq < e[b].seq)
}

func (e schedule) Swap(a, b int) { e[a], e[b] = e[b], e[a] }

func (e *schedule) Push(x any) { *e = append(*e, x.(scheduled)) }

func (e *schedule) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

func (world *World) schedule(duration time.Duration, action func()) {
	world.seq++
	heap.Push(&world.events, scheduled{world.now + duration, world.seq, action})
}

// Run plays for d.
func (world *World) Run(duration time.Duration) {
	end := world.now + duration
	for len(world.events) > 0 && world.events[0].at <= end {
		event := heap.Pop(&world.events).(scheduled)
		world.now = event.at
		event.do()
	}
	world.now = end
}
