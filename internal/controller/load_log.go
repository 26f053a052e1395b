package controller

import (
	"iter"

	"lugward/internal/event"
	"lugward/internal/pipeline"
	"lugward/internal/scheduler"
)

// taskLoad counts the tasks of the unfinished jobs.
type taskLoad struct {
	jobsUnplaced  int // with tasks that are not placed
	tasksUnplaced int
	notDurable    int // placed, but not stored yet
	evicting      int
	byPhase       [pipeline.TaskExited + 1]int // placed, by their phase
}

// machineLoad counts the machines that the last round could use.
type machineLoad struct {
	usable   int
	idle     int
	freeGPUs float64
}

// countTasks counts the tasks of those of the given jobs that are unfinished.
func countTasks(jobs iter.Seq[*pipeline.Job]) taskLoad {
	var load taskLoad
	for job := range jobs {
		if job.TerminalPhase != pipeline.Queued {
			continue
		}
		if unplaced := job.UnplacedCount(); unplaced > 0 {
			load.jobsUnplaced++
			load.tasksUnplaced += unplaced
		}
		for assignment := range job.Assignments() {
			load.count(assignment)
		}
	}
	return load
}

// count counts a task that is placed.
func (l *taskLoad) count(assignment *pipeline.Assignment) {
	l.byPhase[assignment.Phase()]++
	if assignment.Evicting() {
		l.evicting++
	}
	if !assignment.Durable() {
		l.notDurable++
	}
}

// countMachines counts the machines with the given capacities.
func countMachines(capacities []*scheduler.Capacity) machineLoad {
	var load machineLoad
	for _, capacity := range capacities {
		load.usable++
		if !capacity.InUse {
			load.idle++
		}
		load.freeGPUs += capacity.FreeGPUs
	}
	return load
}

// logLoad logs now and then how much work there is and what is done about it.
func (c *Controller) logLoad(now event.Time) {
	if !c.leadership.schedule.loadLog.takeDue(now) {
		return
	}
	tasks := countTasks(c.jobs.AllJobs())
	machines := countMachines(c.leadership.lastRound.Capacities)
	stateDemand := c.store.Demand(now)
	c.log.Info("load",
		"jobs_unplaced", tasks.jobsUnplaced,
		"tasks_unplaced", tasks.tasksUnplaced,
		"tasks_not_durable", tasks.notDurable,
		"tasks_starting", tasks.byPhase[pipeline.TaskUnseen],
		"tasks_pulling", tasks.byPhase[pipeline.TaskPulling],
		"tasks_waiting_for_gang", tasks.byPhase[pipeline.TaskWaitingForGang],
		"tasks_running", tasks.byPhase[pipeline.TaskRunning],
		"tasks_evicting", tasks.evicting,
		"tasks_reserved", c.scheduler.ReservationCount(),
		"machines_usable", machines.usable,
		"machines_idle", machines.idle,
		"gpus_free", machines.freeGPUs,
		"rounds_interrupted", c.scheduler.TakeInterruptedRounds(),
		"run_records_compact", c.jobs.CompactCount(),
		"writes_per_second", int(stateDemand.Writes))
}
