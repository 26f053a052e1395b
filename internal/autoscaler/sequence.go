package autoscaler

import (
	"math"

	"lugward/internal/pipeline"
)

// turnoverSeconds is how long a task's place stays empty before the next task of
// its job runs there: the end is reported, stored and answered with a start.
const turnoverSeconds = 2.0

// minTurns is the least number of tasks for which sharing a place means anything.
const minTurns = 2

// taskWaves counts, per class and within one plan, the places for short tasks that
// run one after the other. Fractions add up over jobs, so that many small jobs
// share a place as one large job does.
type taskWaves map[int]float64

// places returns for how many of a job's tasks that wait there is to be a place
// once a machine that is provisioned now is up. A machine pays off only if it has
// work for as long as it takes to boot and is kept idle, so the tasks of an array
// that are shorter than that, and that have no deadline, take turns. seconds is
// that time, runtime is what a task takes, 0 if that is not known.
func (s taskWaves) places(job *pipeline.Job, waiting int, seconds, runtime float64) int {
	turns := math.Floor(seconds / (runtime + turnoverSeconds))
	short := runtime > 0 && turns >= minTurns
	mayWait := job.Shape == pipeline.Array && job.EffectiveDeadline == pipeline.NoDeadline
	if !short || !mayWait {
		return waiting
	}
	// Places of tasks that run now are free again by then: they count with what
	// the plan finds on the machines.
	before := math.Ceil(s[job.Class])
	s[job.Class] += float64(waiting+job.ActiveCount()) / turns
	return min(waiting, int(math.Ceil(s[job.Class])-before))
}
