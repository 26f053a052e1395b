package simtest

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// TestRandomChains plays random pipelines under random faults, while the state
// service lowers its limits: the rules must hold, every job must end, as those
// that it needs do, and nothing but terminal records may be left behind.
func TestRandomChains(t *testing.T) {
	t.Parallel()
	first, plays := environmentNumber("SIM_FROM", 1), environmentNumber("SIM_PLAYS", 60)
	for seed := first; seed < first+plays; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			playRandomPipelines(t, seed)
		})
	}
}

// playRandomPipelines plays random pipelines in a new world.
func playRandomPipelines(reporter errorReporter, seed uint64) {
	next := Arguments{}
	if seed%3 != 0 {
		next = Arguments{"nextvalue": "2", "nextops": "4", "nextwrites": "20"}
	}
	world := NewWith(Options{Settings: Announce(Settings, next), Controllers: 3, Seed: seed, Log: logOut()})
	world.watchInvariants()
	world.startRandomFaults()
	world.addFinishedJobs(Arguments{"from": "5000", "count": "400"})
	playPipelines(reporter, world, seed, len(next) > 0)
}

// pipelinePlay is a play of random pipelines.
type pipelinePlay struct {
	errorReporter
	world     *World
	seed      uint64
	accepted  []string
	all       []string // those too whose answer nobody waited for
	next      int      // number of the next job
	announced bool     // the state service will lower its limits
	lowered   bool
}

// playPipelines plays five pipelines, and checks how they end once all faults are over.
func playPipelines(reporter errorReporter, world *World, seed uint64, announced bool) {
	play := &pipelinePlay{errorReporter: reporter, world: world, seed: seed, announced: announced}
	for range 5 {
		play.onePipeline()
	}
	play.lower()
	world.endAllFaults()
	world.users.waitForRecordedAnswers(2 * userRetry)
	world.stateService.writesToDelay = 0
	play.untilOver()
	play.checkEnds()
	world.Run(150 * time.Second)
	for _, prefix := range []string{jobKeyPrefix, runKeyPrefix, upstreamKeyPrefix} {
		if keys := world.listKeys(prefix); len(keys) > 0 {
			play.Errorf("seed %d: left behind: %.300s", seed, strings.Join(keys, "\n"))
		}
	}
	if verdict := world.Verdict(); verdict != "kept" {
		play.Errorf("seed %d: %s", seed, verdict)
	}
}

// lower lowers the state service's limits if that was announced.
func (play *pipelinePlay) lower() {
	if play.announced && !play.lowered {
		play.lowered = true
		play.world.stateService.setLimits(Arguments{"value": "2", "ops": "4", "writes": "20"})
	}
}

// randomJob draws a job that needs others.
func (play *pipelinePlay) randomJob(awaits []string) Arguments {
	rng := play.world.random
	arguments := Arguments{"id": jobID(play.next), "shape": []string{"array", "array", "gang"}[rng.IntN(3)], "tasks": fmt.Sprint(1 + rng.IntN(4)),
		"run": fmt.Sprintf("%ds", 1+rng.IntN(12)), "team": []string{"red", "blue"}[rng.IntN(2)],
		"priority": []string{"idle", "normal", "high", "production"}[rng.IntN(4)]}
	play.next++
	if rng.IntN(2) == 0 {
		arguments["spot"] = ""
	}
	if rng.IntN(12) == 0 {
		arguments["tasks"], arguments["cpus"], arguments["memory"] = "200", "0.02", "0.02"
	}
	if len(awaits) > 0 && rng.IntN(8) == 0 {
		awaits = append(awaits, "req-005000*400") // several values and transactions
	}
	if len(awaits) > 0 {
		arguments["awaits"] = strings.Join(awaits, "+")
	}
	play.all = append(play.all, arguments["id"])
	return arguments
}

// submit submits a random job that needs others.
func (play *pipelinePlay) submit(awaits []string) (id string, taken bool) {
	arguments := play.randomJob(awaits)
	status, _ := play.world.users.Submit(arguments)
	switch status {
	case 200, 201:
		play.accepted = append(play.accepted, arguments["id"])
		return arguments["id"], true
	case 503, 429, 0:
	default:
		play.Errorf("seed %d: %s gets %d", play.seed, arguments["id"], status)
	}
	return arguments["id"], false
}

// onePipeline submits a pipeline under random faults.
func (play *pipelinePlay) onePipeline() {
	world := play.world
	stages := play.submitStages()
	if world.random.IntN(3) != 0 {
		world.causeTwoFaults()
	}
	if world.random.IntN(6) == 0 {
		// The limits fall in an outage.
		world.stateService.setOutage(true)
		play.lower()
		world.schedule(seconds(1+world.random.Float64()*10), func() { world.stateService.setOutage(false) })
	} else if world.random.IntN(6) == 0 {
		play.lower()
	}
	if world.random.IntN(3) == 0 {
		world.stateService.delayedPrefix = []string{terminalKeyPrefix, jobKeyPrefix, upstreamKeyPrefix}[world.random.IntN(3)]
		world.stateService.writeDelay = seconds(2 + world.random.Float64()*10)
		world.stateService.writesToDelay = 1 + world.random.IntN(2)
	}
	if len(stages) > 0 && world.random.IntN(4) == 0 {
		// A submission that meets the cancellation of what it needs.
		upstream := stages[world.random.IntN(len(stages))]
		down := play.randomJob([]string{upstream})
		world.schedule(seconds(world.random.Float64()/2), func() { world.users.submitRecorded(down) })
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

// submitStages submits a pipeline: each job needs one or two before it, some an
// older one.
func (play *pipelinePlay) submitStages() (stages []string) {
	rng := play.world.random
	for k := range 2 + rng.IntN(4) {
		var awaits []string
		if k > 0 && len(stages) > 0 {
			for range 1 + rng.IntN(2) {
				awaits = append(awaits, stages[len(stages)-1-rng.IntN(min(len(stages), 3))])
			}
		}
		if len(play.accepted) > 0 && rng.IntN(4) == 0 {
			awaits = append(awaits, play.accepted[rng.IntN(len(play.accepted))])
		}
		if id, ok := play.submit(awaits); ok {
			stages = append(stages, id)
		}
		if rng.IntN(5) == 0 {
			play.world.Run(seconds(rng.Float64() * 4)) // the next comes late
		}
	}
	return stages
}

// left lists the accepted jobs that are not over.
func (play *pipelinePlay) left() (ids []string) {
	for _, id := range play.all {
		if play.world.checker.acknowledgedPhase[id] != "" && !play.world.checker.isOver(id) {
			ids = append(ids, id)
		}
	}
	return ids
}

// untilOver polls all jobs until they are over.
func (play *pipelinePlay) untilOver() {
	for _, id := range play.all {
		if play.world.checker.acknowledgedPhase[id] == "" {
			play.world.users.Poll(id) // its user gave up; it may be accepted all the same
		}
	}
	for range 150 {
		ids := play.left()
		if len(ids) == 0 {
			break
		}
		for _, id := range ids {
			play.world.users.Poll(id)
		}
		play.world.Run(seconds(2))
	}
}

// checkEnds checks that all jobs are over, and as their upstream jobs demand.
func (play *pipelinePlay) checkEnds() {
	world := play.world
	for _, id := range play.left() {
		play.Errorf("seed %d: %s is still %s, needs %v\n%s", play.seed, id, world.checker.acknowledgedPhase[id], world.jobs[id].upstream,
			world.storedOf(id))
	}
	for _, id := range play.all {
		for _, upstream := range world.jobs[id].upstream {
			acknowledged, above := world.checker.acknowledgedPhase[id], world.checker.acknowledgedPhase[upstream]
			doneTooEarly := acknowledged == jobDone && above != jobDone
			notCancelled := above == jobCancelled && acknowledged != "" && acknowledged != jobCancelled
			if doneTooEarly || notCancelled {
				play.Errorf("seed %d: %s is %s, needs %s, which is %s", play.seed, id, acknowledged, upstream, above)
			}
		}
	}
}
