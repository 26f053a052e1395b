package autoscaler

import (
	"math"

	"lugward/internal/pipeline"
)

// turnoverSeconds is how long a slot stays empty between a task and the next task of
// its job: the worker reports the exit, the controller persists it and responds with
// the start of the next task.
const turnoverSeconds = 2.0

// minWaves is the smallest number of waves in which tasks can share a slot: with a
// single wave each task needs a slot of its own.
const minWaves = 2

// taskWaves counts, by class, the slots that a plan provides for short tasks. Such tasks
// run in waves, that is, one after the other in the same slot. Fractions of a slot add
// up over jobs, so that many small jobs share a slot just as the tasks of a large job do.
type taskWaves map[pipeline.ClassIndex]float64

// slots returns how many slots a job's waiting tasks need once a machine that is
// provisioned now is running. A machine pays off only if it has work for breakEvenSeconds,
// which is its boot time plus the time for which it is kept idle. Array tasks that are
// shorter than that and have no deadline therefore run in waves. runtimeSeconds is the
// expected runtime of a task, or 0 if it is unknown.
func (w taskWaves) slots(job *pipeline.Job, waiting int, breakEvenSeconds, runtimeSeconds float64) int {
	waves := math.Floor(breakEvenSeconds / (runtimeSeconds + turnoverSeconds))
	short := runtimeSeconds > 0 && waves >= minWaves
	mayWait := job.Shape == pipeline.Array && job.EffectiveDeadline == pipeline.NoDeadline
	if !short || !mayWait {
		return waiting
	}
	// The slots of active tasks are free again by the time a new machine is running. The plan
	// finds them as free capacity of existing machines, so active tasks count as well.
	before := math.Ceil(w[job.Class])
	w[job.Class] += float64(waiting+job.ActiveCount()) / waves
	return min(waiting, int(math.Ceil(w[job.Class])-before))
}
