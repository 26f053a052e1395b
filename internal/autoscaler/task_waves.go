package autoscaler

import (
	"math"

	"lugward/internal/pipeline"
)

// turnoverSeconds is how long a task's slot stays empty before the next task of its
// job runs there: the end is reported, stored and answered with a start.
const turnoverSeconds = 2.0

// minWaves is the least number of waves for which sharing a slot means anything.
const minWaves = 2

// taskWaves counts, per class and within one plan, the slots for short tasks that run
// in waves, one after the other. Fractions add up over jobs, so that many small jobs
// share a slot as one large job does.
type taskWaves map[pipeline.ClassIndex]float64

// slots returns for how many of a job's waiting tasks there is to be a slot once a
// machine that is provisioned now is up. A machine pays off only if it has work for as
// long as it takes to boot and is kept idle, so the tasks of an array that are shorter
// than that, and that have no deadline, run in waves. seconds is that time, runtime
// that of a task in seconds, 0 if it is not known.
func (w taskWaves) slots(job *pipeline.Job, waiting int, seconds, runtime float64) int {
	waves := math.Floor(seconds / (runtime + turnoverSeconds))
	short := runtime > 0 && waves >= minWaves
	mayWait := job.Shape == pipeline.Array && job.EffectiveDeadline == pipeline.NoDeadline
	if !short || !mayWait {
		return waiting
	}
	// Slots of tasks that run now are free again by then: they count with what the plan
	// finds on the machines.
	before := math.Ceil(w[job.Class])
	w[job.Class] += float64(waiting+job.ActiveCount()) / waves
	return min(waiting, int(math.Ceil(w[job.Class])-before))
}
