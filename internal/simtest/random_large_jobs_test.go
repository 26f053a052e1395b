package simtest

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"lugward/internal/config"
)

// TestRandomLargeJobs runs large jobs and jobs with long lists of upstream jobs under random
// faults. The controllers have little memory, and their rounds are cut short. All invariants must
// hold, no message may be too long, jobs must not take more memory than their share, and every
// accepted job must end.
func TestRandomLargeJobs(t *testing.T) {
	t.Parallel()
	first, runs := environmentNumber("SIM_FROM", 1), environmentNumber("SIM_LARGE_PLAYS", 8)
	for seed := first; seed < first+runs; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			runRandomLargeJobs(t, seed)
		})
	}
}

// Amounts of work in a run of large jobs.
const (
	finishedUpstreamJobs = 1_200 // upstream jobs that are over
	firstFinishedJob     = 5_000
	pendingUpstreamJobs  = 30 // upstream jobs that are submitted
	maxLargeTasks        = 4_000
	maxRepeatedTypes     = 200 // times that a job names the same machine types
)

// largeJobRun is a run of large jobs in one world.
type largeJobRun struct {
	world    *World
	memoryMB float64
	accepted []string
	nextJob  int
}

// runRandomLargeJobs runs random large jobs in a new world.
func runRandomLargeJobs(reporter errorReporter, seed uint64) {
	run := &largeJobRun{memoryMB: []float64{2, 4, 100}[seed%3]}
	run.world = NewWith(Options{Controllers: 3, Seed: seed, Log: controllerLog(), RoundClock: true,
		Tune: func(settings *config.Platform) { settings.Settings.Resources.MemoryMB = run.memoryMB }})
	run.world.watchInvariants()
	run.watchMemory()
	run.world.startRandomFaults()
	run.world.addFinishedJobs(Arguments{"from": fmt.Sprint(firstFinishedJob), "count": fmt.Sprint(finishedUpstreamJobs)})
	run.submitUpstreamJobs()
	for range 5 {
		run.submitLargeJob()
		run.submitLongLists()
		run.world.injectTwoFaults()
		run.world.Run(seconds(run.world.random.Float64() * 6))
		if run.world.random.IntN(4) == 0 && len(run.accepted) > 0 {
			run.world.users.Cancel(run.accepted[run.world.random.IntN(len(run.accepted))])
		}
	}
	run.world.endAllFaults()
	run.accepted = append(run.accepted, run.world.acceptedFaultJobs()...)
	run.world.cancelDaemons(run.accepted)
	run.world.pollUntilEnded(run.accepted)
	run.world.pollUntilEnded(run.accepted) // large jobs run in waves, so they get twice the time
	run.world.checkAllEnded(reporter, seed, run.accepted)
}

// submit submits a job once.
func (run *largeJobRun) submit(arguments Arguments) {
	arguments["id"] = jobID(run.nextJob)
	run.nextJob++
	if status, _ := run.world.users.Submit(arguments); isAccepted(status) {
		run.accepted = append(run.accepted, arguments["id"])
	}
}

// submitUpstreamJobs submits the jobs that others wait for.
func (run *largeJobRun) submitUpstreamJobs() {
	for range pendingUpstreamJobs {
		run.submit(Arguments{"run": fmt.Sprintf("%ds", 5+run.world.random.IntN(20)), "cpus": "0.5"})
	}
}

// submitLargeJob submits an array, or rarely a gang, of many small tasks. It may name machine types
// again and again, and the zones of a gang's tasks may depend on each other.
func (run *largeJobRun) submitLargeJob() {
	random := run.world.random
	arguments := Arguments{"tasks": fmt.Sprint(1 + random.IntN(maxLargeTasks)), "cpus": "0.001", "memory": "0.001", "run": fmt.Sprintf("%ds", 2+random.IntN(6)),
		"priority": []string{"idle", "normal", "high"}[random.IntN(3)]}
	if random.IntN(4) == 0 {
		arguments["shape"], arguments["tasks"] = shapeGang, fmt.Sprint(2+random.IntN(800))
		if constraint := []string{"", "same_zone", "scatter"}[random.IntN(3)]; constraint != "" {
			arguments[constraint] = ""
		}
	}
	if random.IntN(4) == 0 {
		arguments["types"] = strings.Repeat("small+big+", random.IntN(maxRepeatedTypes)) + "small"
	}
	run.submit(arguments)
}

// submitLongLists submits jobs that wait for many others, a random part of them finished.
func (run *largeJobRun) submitLongLists() {
	random := run.world.random
	for range 1 + random.IntN(8) {
		upstream := []string{fmt.Sprintf("%s*%d", jobID(firstFinishedJob), 1+random.IntN(finishedUpstreamJobs))}
		for _, id := range run.accepted {
			if random.IntN(2) == 0 && run.world.jobs[id].shape != shapeDaemon {
				upstream = append(upstream, id)
			}
		}
		run.submit(Arguments{"run": "1s", "cpus": "0.1", "awaits": strings.Join(upstream, "+")})
	}
}

// watchMemory checks periodically that the jobs on each controller do not take more than the
// share of its memory that admission and placement leave to them: 0.4 for unfinished jobs, 0.15
// for assignments, and some for submissions that several controllers accept at once.
func (run *largeJobRun) watchMemory() {
	const maxShare = 0.6
	limit := int(maxShare * run.memoryMB * (1 << 20))
	for _, process := range run.world.controllers {
		if !process.up {
			continue
		}
		if used := process.controller.WorkCounters().JobBytes; used > limit {
			run.world.checker.reportViolation("jobs on controller %s take %d bytes, want at most %d", process.name, used, limit)
		}
	}
	run.world.schedule(time.Second, run.watchMemory)
}
