package controller

import (
	"time"

	"lugward/internal/event"
	"lugward/internal/pipeline"
)

// loadLogInterval is the time between two lines of the log about the load.
const loadLogInterval = 10 * time.Second

// WorkCounters counts what was done for the inputs since the process began. It is to
// grow with what changes, not with the number of machines and tasks.
type WorkCounters struct {
	Heartbeats           int // that were read
	Decoded, Unchanged   int // bytes of reports that were decoded, and that were only compared
	Rounds               int // of the scheduler
	CapacitiesRecomputed int // machines whose capacity was counted anew
	MachineIndices       int // that are or were in use; those of machines that are gone serve others
}

// WorkCounters returns the counts since the process began.
func (n *Controller) WorkCounters() WorkCounters {
	work := n.work
	work.Decoded = n.parser.Decoded
	work.Unchanged = n.parser.Unchanged
	work.CapacitiesRecomputed = n.scheduler.Recounted
	work.MachineIndices = n.names.Machines.Len()
	return work
}

// taskLoad counts the work of the unfinished jobs.
type taskLoad struct {
	jobsWaiting  int // with tasks that are not placed
	tasksWaiting int // that are not placed
	unstored     int // placed, but not stored yet
	terminating  int
	byPhase      [pipeline.TaskExited + 1]int // placed, by their phase
}

// machineLoad counts the machines that the last round could use.
type machineLoad struct {
	up       int
	idle     int
	freeGPUs float64
}

func (n *Controller) taskLoad() taskLoad {
	var load taskLoad
	for _, job := range n.jobs.Jobs {
		if job == nil || job.TerminalPhase != pipeline.Queued {
			continue
		}
		if open := job.UnplacedCount(); open > 0 {
			load.jobsWaiting++
			load.tasksWaiting += open
		}
		job.Assignments(load.count)
	}
	return load
}

func (l *taskLoad) count(entry *pipeline.Assignment) {
	l.byPhase[entry.Phase]++
	if entry.Evicting {
		l.terminating++
	}
	if !entry.Durable {
		l.unstored++
	}
}

func (n *Controller) machineLoad() machineLoad {
	var load machineLoad
	for _, capacity := range n.leadership.placement.capacities {
		load.up++
		if !capacity.InUse {
			load.idle++
		}
		load.freeGPUs += capacity.GPUs
	}
	return load
}

// logLoad logs now and then how much work there is and what is done about it.
func (n *Controller) logLoad(now event.Time) {
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
		"ordered", tasks.byPhase[pipeline.TaskUnseen],
		"fetching", tasks.byPhase[pipeline.TaskPulling],
		"waiting_for_gang", tasks.byPhase[pipeline.TaskWaitingForGang],
		"running", tasks.byPhase[pipeline.TaskRunning],
		"stopping", tasks.terminating,
		"machines", machines.up,
		"idle", machines.idle,
		"gpus_free", machines.freeGPUs,
		"reserved", n.scheduler.Reserved(),
		"cut_short", n.scheduler.Interrupted,
		"compact", n.jobs.CompactCount(),
		"writes", int(writes))
	n.scheduler.Interrupted = 0
}
