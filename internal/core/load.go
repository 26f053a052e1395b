package core

import (
	"time"

	"lugward/internal/event"
	"lugward/internal/pipeline"
)

const (
	loadLogInterval = 10 * time.Second // between two lines of the log about the load
)

// logLoad tells how much work there is and what is being done about it.
func (n *Node) logLoad(now event.Time) {
	if now-n.loadAt < loadLogInterval {
		return
	}
	n.loadAt = now
	var seen [pipeline.Exited + 1]int
	var jobs, open, stopping, unstored int
	for _, j := range n.jobs.Jobs {
		if j == nil || j.Final != pipeline.Queued {
			continue
		}
		if j.OpenCount() > 0 {
			jobs, open = jobs+1, open+j.OpenCount()
		}
		j.Entries(func(e *pipeline.Entry) {
			seen[e.Phase]++
			if e.Evict {
				stopping++
			}
			if !e.Durable {
				unstored++
			}
		})
	}
	up, idle, free := 0, 0, 0.0
	for _, r := range n.capacities {
		up++
		if !r.Busy {
			idle++
		}
		free += r.GPUs
	}
	_, writes := n.store.Demand(now)
	n.log.Info("load", "jobs_waiting", jobs, "tasks_waiting", open, "unstored", unstored, "ordered", seen[pipeline.Unseen], "fetching", seen[pipeline.Pulling],
		"waiting_for_gang", seen[pipeline.Waiting], "running", seen[pipeline.RunningTask], "stopping", stopping, "machines", up, "idle", idle, "gpus_free", free,
		"reserved", n.scheduler.Reserved(), "cut_short", n.scheduler.Interrupted, "compact", n.jobs.Compact(), "writes", int(writes))
	n.scheduler.Interrupted = 0
}

// Work counts what was done on behalf of the inputs: at any size it is to
// follow what has changed.
type Work struct {
	Reports             int // that were read
	Decoded, Unchanged  int // bytes of reports that were decoded, and compared only
	Rounds              int
	CapacitiesRecounted int // machine capacities that were counted anew
}

// Work returns the counts since the process began.
func (n *Node) Work() Work {
	w := n.work
	w.Decoded, w.Unchanged, w.CapacitiesRecounted = n.parser.Decoded, n.parser.Unchanged, n.scheduler.Recounted
	return w
}
