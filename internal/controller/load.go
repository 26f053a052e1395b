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
func (c *Controller) WorkCounters() WorkCounters {
	work := c.work
	work.Decoded = c.parser.Decoded
	work.Unchanged = c.parser.Unchanged
	work.CapacitiesRecomputed = c.scheduler.CapacitiesRecomputed()
	work.MachineIndices = c.names.Machines.Len()
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

func (c *Controller) taskLoad() taskLoad {
	var load taskLoad
	for _, job := range c.jobs.Jobs {
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

func (c *Controller) machineLoad() machineLoad {
	var load machineLoad
	for _, capacity := range c.leadership.lastRound.Capacities {
		load.up++
		if !capacity.InUse {
			load.idle++
		}
		load.freeGPUs += capacity.FreeGPUs
	}
	return load
}

// logLoad logs now and then how much work there is and what is done about it.
func (c *Controller) logLoad(now event.Time) {
	if now-c.leadership.schedule.loadAt < loadLogInterval {
		return
	}
	c.leadership.schedule.loadAt = now
	tasks := c.taskLoad()
	machines := c.machineLoad()
	demand := c.store.Demand(now)
	c.log.Info("load",
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
		"reserved", c.scheduler.ReservationCount(),
		"cut_short", c.scheduler.TakeInterruptedRounds(),
		"compact", c.jobs.CompactCount(),
		"writes", int(demand.Writes))
}
