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

func (w *World) after(d time.Duration, f func()) {
	w.seq++
	heap.Push(&w.schedule, scheduled{w.now + d, w.seq, f})
}

// Run plays for d.
func (w *World) Run(d time.Duration) {
	end := w.now + d
	for len(w.schedule) > 0 && w.schedule[0].at <= end {
		e := heap.Pop(&w.schedule).(scheduled)
		w.now = e.at
		e.do()
	}
	w.now = end
}
