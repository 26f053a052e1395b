package simtest

import (
	"flag"
	"fmt"
	"maps"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestRandomFaults runs random jobs under random faults. All invariants must hold, and every
// job must end once the faults are over.
func TestRandomFaults(t *testing.T) {
	t.Parallel()
	first, runs := environmentNumber("SIM_FROM", 1), environmentNumber("SIM_PLAYS", 60)
	for seed := first; seed < first+runs; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			runRandomJobs(t, seed)
		})
	}
}

// init fixes the seed of rapid, so that TestDrawnFaults draws the same faults and has the
// same result in every run.
func init() {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

// TestDrawnFaults runs random jobs under random faults with seeds drawn by rapid, which
// shrinks the seed of a failure.
func TestDrawnFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64Range(1000, 1<<32).Draw(rt, "seed")
		runRandomJobs(rt, seed)
	})
}

// environmentNumber returns the number in an environment variable, or defaultValue if there is
// none. Longer trials set these variables.
func environmentNumber(name string, defaultValue uint64) uint64 {
	if number, err := strconv.ParseUint(os.Getenv(name), 10, 64); err == nil {
		return number
	}
	return defaultValue
}

// errorReporter is the common interface of *testing.T and *rapid.T that random runs use.
type errorReporter interface {
	Errorf(format string, args ...any)
}

// randomJobsOptions are the options of a run of random jobs.
type randomJobsOptions struct {
	observer   WireObserver // gets all messages; nil if they are not observed
	faultKinds int          // see World.faultKinds
}

// runRandomJobs runs random jobs under random faults and checks all invariants.
func runRandomJobs(reporter errorReporter, seed uint64) {
	runRandomJobsWith(reporter, seed, randomJobsOptions{})
}

// runRandomJobsWith is runRandomJobs with options.
func runRandomJobsWith(reporter errorReporter, seed uint64, options randomJobsOptions) {
	world := NewWith(Options{Controllers: 3, Seed: seed, Log: controllerLog(), Observer: options.observer})
	world.faultKinds = options.faultKinds
	world.watchInvariants()
	world.startRandomFaults()
	var accepted []string
	for i := range 8 {
		arguments := world.drawJob(i)
		if status, _ := world.users.Submit(arguments); isAccepted(status) {
			accepted = append(accepted, arguments["id"])
		}
		world.injectTwoFaults()
		world.Run(seconds(world.random.Float64() * 6))
		if world.random.IntN(3) == 0 && len(accepted) > 0 {
			world.users.Poll(accepted[world.random.IntN(len(accepted))])
		}
		if world.random.IntN(4) == 0 && len(accepted) > 0 {
			world.users.Cancel(accepted[world.random.IntN(len(accepted))])
		}
	}
	world.endAllFaults()
	accepted = append(accepted, world.acceptedFaultJobs()...)
	world.cancelDaemons(accepted)
	world.pollUntilEnded(accepted)
	world.checkAllEnded(reporter, seed, accepted)
}

// usualCopies are the late copies throughout a run of random jobs.
var usualCopies = messageCopies{calls: 0.05, heartbeats: 0.05, heartbeatDelay: 30 * time.Second}

// startRandomFaults makes the network lose, repeat and duplicate some packets, and adds three
// machines.
func (world *World) startRandomFaults() {
	world.network.lossShare, world.network.copies = 0.01, usualCopies
	for range 3 {
		world.cloud.addMachine("small", []string{"a", "b"}[world.random.IntN(2)], false, 0)
	}
}

// drawJob draws the arguments of a submission.
func (world *World) drawJob(number int) Arguments {
	shapes := []string{shapeArray, shapeArray, shapeGang, shapeDaemon}
	arguments := Arguments{
		"id":    fmt.Sprintf("req-%06d", number),
		"shape": shapes[world.random.IntN(len(shapes))],
		"tasks": fmt.Sprint(1 + world.random.IntN(5)),
		"run":   fmt.Sprintf("%ds", 2+world.random.IntN(15)),
		"team":  []string{"red", "blue"}[world.random.IntN(2)],
	}
	if world.random.IntN(2) == 0 {
		arguments["checkpoint"] = "3s"
	}
	if world.random.IntN(2) == 0 {
		arguments["spot"] = ""
	}
	if world.random.IntN(3) == 0 {
		arguments["same_zone"] = ""
	} else if world.random.IntN(3) == 0 {
		arguments["scatter"] = ""
	}
	return arguments
}

// cancelDaemons cancels all daemons, as they do not end by themselves.
func (world *World) cancelDaemons(ids []string) {
	for _, id := range ids {
		if world.jobs[id].shape == shapeDaemon {
			world.users.Cancel(id)
		}
	}
}

// checkAllEnded checks that all jobs have ended, all machines are released and no invariant was
// violated.
func (world *World) checkAllEnded(reporter errorReporter, seed uint64, ids []string) {
	for _, id := range ids {
		if !world.checker.hasEnded(id) {
			reporter.Errorf("seed %d: job %s has phase %q, want done or cancelled: %+v; stored records:\n%s", seed, id, world.checker.acknowledgedPhase[id], *world.jobs[id], world.storedRecordsOf(id))
		}
	}
	if machines := world.waitForMachinesReleased(); machines != "" {
		reporter.Errorf("seed %d: machines not released after all jobs ended: %s, want none; stored run records:\n%s", seed, machines, strings.Join(world.listKeys(runKeyPrefix), "\n"))
	}
	if verdict := world.Verdict(); verdict != "kept" {
		reporter.Errorf("seed %d: invariants violated:\n%s", seed, verdict)
	}
}

// storedRecordsOf returns the job and run records of a job in the state service.
func (world *World) storedRecordsOf(id string) string {
	return strings.Join(append(world.listKeys(jobKeyPrefix+id), world.listKeys(runKeyPrefix+id)...), "\n")
}

// waitForMachinesReleased runs the world until all machines are released, for at most five
// minutes. It returns the names of the machines that are not.
func (world *World) waitForMachinesReleased() string {
	for range 150 {
		if len(world.cloud.machines) == 0 {
			return ""
		}
		world.Run(seconds(2))
	}
	return strings.Join(slices.Sorted(maps.Keys(world.cloud.machines)), ", ")
}

// pollUntilEnded polls jobs until all have ended, for at most four minutes.
func (world *World) pollUntilEnded(ids []string) {
	for range 120 {
		open := 0
		for _, id := range ids {
			if !world.checker.hasEnded(id) {
				open++
				world.users.Poll(id)
			}
		}
		if open == 0 {
			break
		}
		world.Run(seconds(2))
	}
}

// endAllFaults waits for the random faults to end, ends the lasting ones and starts all
// controllers that are down.
func (world *World) endAllFaults() {
	world.Run(max(seconds(25), world.faultsEndAt-world.now))
	world.cloud.bootFailures, world.cloud.down = 0, false
	world.network.endFaults()
	world.users.cancelAtEnd, world.users.invalidRequests = 0, false
	world.Run(maxDelay) // delayed messages arrive
	world.checker.faultsOverAt = world.now
	for _, process := range world.controllers {
		process.bootIfDown()
	}
}
