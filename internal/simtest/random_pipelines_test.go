package simtest

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// TestRandomChains runs random pipelines under random faults while the state service lowers
// its limits. All invariants must hold, every job must end in a phase that fits those of
// its upstream jobs, and no records but terminal ones may remain in the state service.
func TestRandomChains(t *testing.T) {
	t.Parallel()
	first, runs := environmentNumber("SIM_FROM", 1), environmentNumber("SIM_PLAYS", 60)
	for seed := first; seed < first+runs; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			playRandomPipelines(t, seed)
		})
	}
}

// playRandomPipelines runs random pipelines in a new world.
func playRandomPipelines(reporter errorReporter, seed uint64) {
	lowerLimits := Arguments{}
	if seed%3 != 0 {
		lowerLimits = Arguments{"nextvalue": "2", "nextops": "4", "nextwrites": "20"}
	}
	world := NewWith(Options{Settings: Announce(Settings, lowerLimits), Controllers: 3, Seed: seed, Log: controllerLog()})
	world.watchInvariants()
	world.startRandomFaults()
	world.addFinishedJobs(Arguments{"from": "5000", "count": "400"})
	playPipelines(reporter, world, seed, len(lowerLimits) > 0)
}

// pipelinePlay is a run of random pipelines.
type pipelinePlay struct {
	errorReporter
	world     *World
	seed      uint64
	accepted  []string // IDs of jobs whose submission was answered as accepted
	all       []string // IDs of all jobs, including those submitted in the background or not accepted
	nextJob   int      // number in the ID of the next job
	announced bool     // the settings announce lower limits of the state service
	lowered   bool     // the limits have been lowered
}

// playPipelines runs five pipelines and checks the phases of their jobs and the remaining
// records once all faults are over.
func playPipelines(reporter errorReporter, world *World, seed uint64, announced bool) {
	play := &pipelinePlay{errorReporter: reporter, world: world, seed: seed, announced: announced}
	for range 5 {
		play.playOnePipeline()
	}
	play.lowerLimits()
	world.endAllFaults()
	world.users.waitForRecordedAnswers(2 * userRetry)
	world.stateService.writesToDelay = 0
	play.pollUntilEnded()
	play.checkFinalPhases()
	world.Run(150 * time.Second)
	for _, prefix := range []string{jobKeyPrefix, runKeyPrefix, upstreamKeyPrefix} {
		if keys := world.listKeys(prefix); len(keys) > 0 {
			play.Errorf("seed %d: found keys with prefix %q after all jobs ended, want none: %.300s", seed, prefix, strings.Join(keys, "\n"))
		}
	}
	if verdict := world.Verdict(); verdict != "kept" {
		play.Errorf("seed %d: invariants violated:\n%s", seed, verdict)
	}
}

// lowerLimits lowers the limits of the state service once if the settings announce that.
func (play *pipelinePlay) lowerLimits() {
	if play.announced && !play.lowered {
		play.lowered = true
		play.world.stateService.setLimits(Arguments{"value": "2", "ops": "4", "writes": "20"})
	}
}

// randomJob draws the arguments of a job with the given upstream jobs.
func (play *pipelinePlay) randomJob(upstream []string) Arguments {
	rng := play.world.random
	arguments := Arguments{"id": jobID(play.nextJob), "shape": []string{"array", "array", "gang"}[rng.IntN(3)], "tasks": fmt.Sprint(1 + rng.IntN(4)),
		"run": fmt.Sprintf("%ds", 1+rng.IntN(12)), "team": []string{"red", "blue"}[rng.IntN(2)],
		"priority": []string{"idle", "normal", "high", "production"}[rng.IntN(4)]}
	play.nextJob++
	if rng.IntN(2) == 0 {
		arguments["spot"] = ""
	}
	if rng.IntN(12) == 0 {
		arguments["tasks"], arguments["cpus"], arguments["memory"] = "200", "0.02", "0.02"
	}
	if len(upstream) > 0 && rng.IntN(8) == 0 {
		upstream = append(upstream, "req-005000*400") // stored in several values and transactions
	}
	if len(upstream) > 0 {
		arguments["awaits"] = strings.Join(upstream, "+")
	}
	play.all = append(play.all, arguments["id"])
	return arguments
}

// submit submits a random job with the given upstream jobs.
func (play *pipelinePlay) submit(upstream []string) (id string, accepted bool) {
	arguments := play.randomJob(upstream)
	status, _ := play.world.users.Submit(arguments)
	switch status {
	case 200, 201:
		play.accepted = append(play.accepted, arguments["id"])
		return arguments["id"], true
	case 503, 429, 0:
	default:
		play.Errorf("seed %d: submission of job %s answered %d, want 200, 201, 429, 503 or no answer", play.seed, arguments["id"], status)
	}
	return arguments["id"], false
}

// playOnePipeline submits one pipeline and injects random faults.
func (play *pipelinePlay) playOnePipeline() {
	world := play.world
	stages := play.submitStages()
	if world.random.IntN(3) != 0 {
		world.injectTwoFaults()
	}
	if world.random.IntN(6) == 0 {
		// The limits are lowered during an outage.
		world.stateService.setOutage(true)
		play.lowerLimits()
		world.schedule(seconds(1+world.random.Float64()*10), func() { world.stateService.setOutage(false) })
	} else if world.random.IntN(6) == 0 {
		play.lowerLimits()
	}
	if world.random.IntN(3) == 0 {
		world.stateService.delayedPrefix = []string{terminalKeyPrefix, jobKeyPrefix, upstreamKeyPrefix}[world.random.IntN(3)]
		world.stateService.writeDelay = seconds(2 + world.random.Float64()*10)
		world.stateService.writesToDelay = 1 + world.random.IntN(2)
	}
	if len(stages) > 0 && world.random.IntN(4) == 0 {
		// A submission races with the cancellation of its upstream job.
		upstream := stages[world.random.IntN(len(stages))]
		downstream := play.randomJob([]string{upstream})
		world.schedule(seconds(world.random.Float64()/2), func() { world.users.submitRecorded(downstream) })
		world.schedule(seconds(world.random.Float64()/2), func() { world.users.cancelRecorded(upstream) })
	}
	world.Run(seconds(world.random.Float64() * 8))
	if len(stages) > 0 && world.random.IntN(2) == 0 {
		world.users.Poll(stages[world.random.IntN(len(stages))])
	}
	if len(stages) > 0 && world.random.IntN(4) == 0 {
		world.users.Cancel(stages[world.random.IntN(len(stages))])
	}
	for _, id := range stages {
		if world.random.IntN(3) == 0 {
			world.users.Poll(id)
		}
	}
}

// submitStages submits the jobs of a pipeline and returns the accepted ones. Each job has one
// or two upstream jobs among the last three, and some have one of an earlier pipeline.
func (play *pipelinePlay) submitStages() (stages []string) {
	rng := play.world.random
	for stage := range 2 + rng.IntN(4) {
		var upstream []string
		if stage > 0 && len(stages) > 0 {
			for range 1 + rng.IntN(2) {
				upstream = append(upstream, stages[len(stages)-1-rng.IntN(min(len(stages), 3))])
			}
		}
		if len(play.accepted) > 0 && rng.IntN(4) == 0 {
			upstream = append(upstream, play.accepted[rng.IntN(len(play.accepted))])
		}
		if id, ok := play.submit(upstream); ok {
			stages = append(stages, id)
		}
		if rng.IntN(5) == 0 {
			play.world.Run(seconds(rng.Float64() * 4)) // the next stage is submitted late
		}
	}
	return stages
}

// openJobs returns the accepted jobs that have not ended.
func (play *pipelinePlay) openJobs() (ids []string) {
	for _, id := range play.all {
		if play.world.checker.acknowledgedPhase[id] != "" && !play.world.checker.hasEnded(id) {
			ids = append(ids, id)
		}
	}
	return ids
}

// pollUntilEnded polls all jobs until they have ended, for at most five minutes.
func (play *pipelinePlay) pollUntilEnded() {
	for _, id := range play.all {
		if play.world.checker.acknowledgedPhase[id] == "" {
			play.world.users.Poll(id) // its user stopped retrying, but the job may have been accepted
		}
	}
	for range 150 {
		ids := play.openJobs()
		if len(ids) == 0 {
			break
		}
		for _, id := range ids {
			play.world.users.Poll(id)
		}
		play.world.Run(seconds(2))
	}
}

// checkFinalPhases checks that all jobs have ended, and in phases that fit those of their upstream
// jobs.
func (play *pipelinePlay) checkFinalPhases() {
	world := play.world
	for _, id := range play.openJobs() {
		play.Errorf("seed %d: job %s has phase %q, want done or cancelled; upstream jobs %v; stored records:\n%s", play.seed, id, world.checker.acknowledgedPhase[id], world.jobs[id].upstream,
			world.storedRecordsOf(id))
	}
	for _, id := range play.all {
		for _, upstream := range world.jobs[id].upstream {
			phase, upstreamPhase := world.checker.acknowledgedPhase[id], world.checker.acknowledgedPhase[upstream]
			doneTooEarly := phase == jobDone && upstreamPhase != jobDone
			notCancelled := upstreamPhase == jobCancelled && phase != "" && phase != jobCancelled
			if doneTooEarly || notCancelled {
				play.Errorf("seed %d: job %s has phase %q, which does not fit upstream job %s with phase %q", play.seed, id, phase, upstream, upstreamPhase)
			}
		}
	}
}
