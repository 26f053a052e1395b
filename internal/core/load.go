package core

import (
	"time"

	"lugward/internal/event"
	"lugward/internal/pipeline"
)

// loadLogInterval is the time between two lines of the log about the load.
const loadLogInterval = 10 * time.Second

// Work counts what was done for the inputs since the process began. It is to
// grow with what changes, not with the number of machines and tasks.
type Work struct {
	Reports             int // that were read
	Decoded, Unchanged  int // bytes of reports that were decoded, and that were only compared
	Rounds              int // of the scheduler
	CapacitiesRecounted int // machines whose capacity was counted anew
	MachineIndices      int // that are or were in use; those of machines that are gone serve others
}

// Work returns the counts since the process began.
func (n *Node) Work() Work {
	work := n.work
	work.Decoded = n.parser.Decoded
	work.Unchanged = n.parser.Unchanged
	work.CapacitiesRecounted = n.scheduler.Recounted
	work.MachineIndices = n.names.Machines.Len()
	return work
}

// taskLoad counts the work of the unfinished jobs.
type taskLoad struct {
	jobsWaiting  int // with tasks that are not placed
	tasksWaiting int // that are not placed
	unstored     int // placed, but not stored yet
	stopping     int
	byPhase      [pipeline.Exited + 1]int // placed, by their phase
}

// machineLoad counts the machines that the last round could use.
type machineLoad struct {
	up       int
	idle     int
	freeGPUs float64
}

func (n *Node) taskLoad() taskLoad {
	var load taskLoad
	for _, job := range n.jobs.Jobs {
		if job == nil || job.Final != pipeline.Queued {
			continue
		}
		if open := job.OpenCount(); open > 0 {
			load.jobsWaiting++
			load.tasksWaiting += open
		}
		job.Entries(load.count)
	}
	return load
}

func (l *taskLoad) count(entry *pipeline.Entry) {
	l.byPhase[entry.Phase]++
	if entry.Evict {
		l.stopping++
	}
	if !entry.Durable {
		l.unstored++
	}
}

func (n *Node) machineLoad() machineLoad {
	var load machineLoad
	for _, capacity := range n.leadership.placement.capacities {
		load.up++
		if !capacity.Busy {
			load.idle++
		}
		load.freeGPUs += capacity.GPUs
	}
	return load
}

// logLoad logs now and then how much work there is and what is done about it.
func (n *Node) logLoad(now event.Time) {
	if now-n.leadership.schedule.loadAt < loadLogInterval {
		return
	}
	n.leadership.schedule.loadAt = now
	tasks := n.taskLoad()
	machines := n.machineLoad()
	_, writes := n.store.Demand(now)
	n.log.Info("load",
		"jobs_waiting", tasks.jobsWaiting,
		"tasks_waiting", tasks.tasksWaiting,
		"unstored", tasks.unstored,
		"ordered", tasks.byPhase[pipeline.Unseen],
		"fetching", tasks.byPhase[pipeline.Pulling],
		"waiting_for_gang", tasks.byPhase[pipeline.Waiting],
		"running", tasks.byPhase[pipeline.RunningTask],
		"stopping", tasks.stopping,
		"machines", machines.up,
		"idle", machines.idle,
		"gpus_free", machines.freeGPUs,
		"reserved", n.scheduler.Reserved(),
		"cut_short", n.scheduler.Interrupted,
		"compact", n.jobs.Compact(),
		"writes", int(writes))
	n.scheduler.Interrupted = 0
}
