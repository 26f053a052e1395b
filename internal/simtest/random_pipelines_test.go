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
			runRandomPipelines(t, seed)
		})
	}
}

// runRandomPipelines runs random pipelines in a new world.
func runRandomPipelines(reporter errorReporter, seed uint64) {
	lowerLimits := Arguments{}
	if seed%3 != 0 {
		lowerLimits = Arguments{"nextvalue": "2", "nextops": "4", "nextwrites": "20"}
	}
	world := NewWith(Options{Settings: Announce(Settings, lowerLimits), Controllers: 3, Seed: seed, Log: controllerLog()})
	world.watchInvariants()
	world.startRandomFaults()
	world.addFinishedJobs(Arguments{"from": "5000", "count": "400"})
	runPipelines(reporter, world, seed, len(lowerLimits) > 0)
}

// pipelineRun is a run of random pipelines in one world.
type pipelineRun struct {
	errorReporter
	world     *World
	seed      uint64
	accepted  []string // IDs of jobs whose submission was answered as accepted
	all       []string // IDs of all jobs, including those submitted in the background or not accepted
	nextJob   int      // number in the ID of the next job
	announced bool     // the settings announce lower limits of the state service
	lowered   bool     // the limits have been lowered
}

// runPipelines runs five pipelines and checks the phases of their jobs and the remaining
// records once all faults are over.
func runPipelines(reporter errorReporter, world *World, seed uint64, announced bool) {
	run := &pipelineRun{errorReporter: reporter, world: world, seed: seed, announced: announced}
	for range 5 {
		run.runOnePipeline()
	}
	run.lowerLimits()
	world.endAllFaults()
	world.users.waitForRecordedAnswers(2 * userRetry)
	world.stateService.writesToDelay = 0
	run.all = append(run.all, world.acceptedFaultJobs()...)
	run.pollUntilEnded()
	run.checkFinalPhases()
	world.Run(150 * time.Second)
	for _, prefix := range []string{jobKeyPrefix, runKeyPrefix, upstreamKeyPrefix} {
		if keys := world.listKeys(prefix); len(keys) > 0 {
			run.Errorf("seed %d: found keys with prefix %q after all jobs ended, want none: %.300s", seed, prefix, strings.Join(keys, "\n"))
		}
	}
	if verdict := world.Verdict(); verdict != "kept" {
		run.Errorf("seed %d: invariants violated:\n%s", seed, verdict)
	}
}

// lowerLimits lowers the limits of the state service once if the settings announce that.
func (run *pipelineRun) lowerLimits() {
	if run.announced && !run.lowered {
		run.lowered = true
		run.world.stateService.setLimits(Arguments{"value": "2", "ops": "4", "writes": "20"})
	}
}

// randomJob draws the arguments of a job with the given upstream jobs.
func (run *pipelineRun) randomJob(upstream []string) Arguments {
	rng := run.world.random
	arguments := Arguments{"id": jobID(run.nextJob), "shape": []string{"array", "array", "gang"}[rng.IntN(3)], "tasks": fmt.Sprint(1 + rng.IntN(4)),
		"run": fmt.Sprintf("%ds", 1+rng.IntN(12)), "team": []string{"red", "blue"}[rng.IntN(2)],
		"priority": []string{"idle", "normal", "high", "production"}[rng.IntN(4)]}
	run.nextJob++
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
	run.all = append(run.all, arguments["id"])
	return arguments
}

// submit submits a random job with the given upstream jobs.
func (run *pipelineRun) submit(upstream []string) (id string, accepted bool) {
	arguments := run.randomJob(upstream)
	status, _ := run.world.users.Submit(arguments)
	switch status {
	case 200, 201:
		run.accepted = append(run.accepted, arguments["id"])
		return arguments["id"], true
	case 503, 429, 0:
	default:
		run.Errorf("seed %d: submission of job %s got status %d, want 200, 201, 429, 503 or no response", run.seed, arguments["id"], status)
	}
	return arguments["id"], false
}

// runOnePipeline submits one pipeline and injects random faults.
func (run *pipelineRun) runOnePipeline() {
	world := run.world
	stages := run.submitStages()
	if world.random.IntN(3) != 0 {
		world.injectTwoFaults()
	}
	if world.random.IntN(6) == 0 {
		// The limits are lowered during an outage.
		world.stateService.setOutage(true)
		run.lowerLimits()
		world.schedule(seconds(1+world.random.Float64()*10), func() { world.stateService.setOutage(false) })
	} else if world.random.IntN(6) == 0 {
		run.lowerLimits()
	}
	if world.random.IntN(3) == 0 {
		world.stateService.delayedPrefix = []string{terminalKeyPrefix, jobKeyPrefix, upstreamKeyPrefix}[world.random.IntN(3)]
		world.stateService.writeDelay = seconds(2 + world.random.Float64()*10)
		world.stateService.writesToDelay = 1 + world.random.IntN(2)
	}
	if len(stages) > 0 && world.random.IntN(4) == 0 {
		// A submission races with the cancellation of its upstream job.
		upstream := stages[world.random.IntN(len(stages))]
		downstream := run.randomJob([]string{upstream})
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
func (run *pipelineRun) submitStages() (stages []string) {
	rng := run.world.random
	for stage := range 2 + rng.IntN(4) {
		var upstream []string
		if stage > 0 && len(stages) > 0 {
			for range 1 + rng.IntN(2) {
				upstream = append(upstream, stages[len(stages)-1-rng.IntN(min(len(stages), 3))])
			}
		}
		if len(run.accepted) > 0 && rng.IntN(4) == 0 {
			upstream = append(upstream, run.accepted[rng.IntN(len(run.accepted))])
		}
		if id, ok := run.submit(upstream); ok {
			stages = append(stages, id)
		}
		if rng.IntN(5) == 0 {
			run.world.Run(seconds(rng.Float64() * 4)) // the next stage is submitted late
		}
	}
	return stages
}

// openJobs returns the accepted jobs that have not ended.
func (run *pipelineRun) openJobs() (ids []string) {
	for _, id := range run.all {
		if run.world.checker.acknowledgedPhase[id] != "" && !run.world.checker.hasEnded(id) {
			ids = append(ids, id)
		}
	}
	return ids
}

// pollUntilEnded polls all jobs until they have ended, for at most five minutes.
func (run *pipelineRun) pollUntilEnded() {
	for _, id := range run.all {
		if run.world.checker.acknowledgedPhase[id] == "" {
			run.world.users.Poll(id) // its user stopped retrying, but the job may have been accepted
		}
	}
	for range 150 {
		ids := run.openJobs()
		if len(ids) == 0 {
			break
		}
		for _, id := range ids {
			run.world.users.Poll(id)
		}
		run.world.Run(seconds(2))
	}
}

// checkFinalPhases checks that all jobs have ended, and in phases that fit those of their upstream
// jobs.
func (run *pipelineRun) checkFinalPhases() {
	world := run.world
	for _, id := range run.openJobs() {
		run.Errorf("seed %d: job %s has phase %q, want done or cancelled; upstream jobs %v; stored records:\n%s", run.seed, id, world.checker.acknowledgedPhase[id], world.jobs[id].upstream,
			world.storedRecordsOf(id))
	}
	for _, id := range run.all {
		for _, upstream := range world.jobs[id].upstream {
			phase, upstreamPhase := world.checker.acknowledgedPhase[id], world.checker.acknowledgedPhase[upstream]
			doneTooEarly := phase == jobDone && upstreamPhase != jobDone
			notCancelled := upstreamPhase == jobCancelled && phase != "" && phase != jobCancelled
			if doneTooEarly || notCancelled {
				run.Errorf("seed %d: job %s has phase %q, which does not fit upstream job %s with phase %q", run.seed, id, phase, upstream, upstreamPhase)
			}
		}
	}
}
