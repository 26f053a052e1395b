package controller

import (
	"iter"

	"lugward/internal/event"
	"lugward/internal/pipeline"
	"lugward/internal/scheduler"
)

// taskCounts are the numbers of tasks of unfinished jobs.
type taskCounts struct {
	jobsUnassigned  int // jobs that have unassigned tasks
	tasksUnassigned int
	notPersisted    int // assigned, but the assignment is not persisted yet
	evicting        int
	byPhase         [pipeline.TaskExited + 1]int // assigned tasks by phase
}

// machineCounts are the numbers of machines that the last scheduling round could use.
type machineCounts struct {
	usable   int
	idle     int
	freeGPUs float64
}

// countTasks counts the tasks of the unfinished jobs among the given jobs.
func countTasks(jobs iter.Seq[*pipeline.Job]) taskCounts {
	var counts taskCounts
	for job := range jobs {
		if job.TerminalPhase != pipeline.Queued {
			continue
		}
		if unassigned := job.UnassignedCount(); unassigned > 0 {
			counts.jobsUnassigned++
			counts.tasksUnassigned += unassigned
		}
		for assignment := range job.Assignments() {
			counts.count(assignment)
		}
	}
	return counts
}

// count adds an assigned task to the counts.
func (l *taskCounts) count(assignment *pipeline.Assignment) {
	l.byPhase[assignment.Phase()]++
	if assignment.Evicting() {
		l.evicting++
	}
	if !assignment.Persisted() {
		l.notPersisted++
	}
}

// countMachines counts the machines to which the given capacities belong.
func countMachines(capacities []*scheduler.Capacity) machineCounts {
	var counts machineCounts
	for _, capacity := range capacities {
		counts.usable++
		if !capacity.InUse {
			counts.idle++
		}
		counts.freeGPUs += capacity.FreeGPUs
	}
	return counts
}

// logStats periodically logs the numbers of unassigned and assigned tasks, the machines,
// and the load of the scheduler and the state service.
func (c *Controller) logStats(now event.Time) {
	if !c.leadership.schedule.statsLog.startIfDue(now) {
		return
	}
	tasks := countTasks(c.jobs.AllJobs())
	machines := countMachines(c.leadership.lastRound.Capacities)
	stateDemand := c.store.Demand(now)
	c.log.Info("load",
		"jobs_unplaced", tasks.jobsUnassigned,
		"tasks_unplaced", tasks.tasksUnassigned,
		"tasks_not_durable", tasks.notPersisted,
		"tasks_starting", tasks.byPhase[pipeline.TaskUnseen],
		"tasks_pulling", tasks.byPhase[pipeline.TaskPulling],
		"tasks_waiting_for_gang", tasks.byPhase[pipeline.TaskWaitingForGang],
		"tasks_running", tasks.byPhase[pipeline.TaskRunning],
		"tasks_evicting", tasks.evicting,
		"tasks_reserved", c.scheduler.ReservationCount(),
		"machines_usable", machines.usable,
		"machines_idle", machines.idle,
		"gpus_free", machines.freeGPUs,
		"rounds_interrupted", c.scheduler.ConsumeInterruptedRounds(),
		"run_records_compact", c.jobs.CompactCount(),
		"accepted_work_kb", c.jobs.EstimatedBytes()/bytesPerKB,
		"writes_per_second", int(stateDemand.Writes))
}
