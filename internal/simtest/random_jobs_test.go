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

// TestRandomFaults plays random jobs under random faults; the rules must hold
// and, once the faults are over, every job must end.
func TestRandomFaults(t *testing.T) {
	t.Parallel()
	first, plays := environmentNumber("SIM_FROM", 1), environmentNumber("SIM_PLAYS", 60)
	for seed := first; seed < first+plays; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			playRandomJobs(t, seed)
		})
	}
}

// The drawn faults are the same at every run, so that the verdict is, too.
func init() {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

// TestDrawnFaults lets rapid draw the seed and shrink a failure.
func TestDrawnFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64Range(1000, 1<<32).Draw(rt, "seed")
		playRandomJobs(rt, seed)
	})
}

// environmentNumber is a number from the environment, for longer trials.
func environmentNumber(name string, def uint64) uint64 {
	if n, err := strconv.ParseUint(os.Getenv(name), 10, 64); err == nil {
		return n
	}
	return def
}

// errorReporter is what *testing.T and *rapid.T have in common here.
type errorReporter interface {
	Errorf(format string, args ...any)
}

// playRandomJobs plays random jobs under random faults.
func playRandomJobs(reporter errorReporter, seed uint64) { playRandomJobsObserved(reporter, seed, nil) }

// playRandomJobsObserved is playRandomJobs with an observer of the wire.
func playRandomJobsObserved(reporter errorReporter, seed uint64, observer WireObserver) {
	world := NewWith(Options{Controllers: 3, Seed: seed, Log: logOut(), Observer: observer})
	world.watchInvariants()
	world.startRandomFaults()
	var accepted []string
	for i := range 8 {
		arguments := world.drawJob(i)
		if status, _ := world.users.Submit(arguments); isAccepted(status) {
			accepted = append(accepted, arguments["id"])
		}
		world.causeTwoFaults()
		world.Run(seconds(world.random.Float64() * 6))
		if world.random.IntN(3) == 0 && len(accepted) > 0 {
			world.users.Poll(accepted[world.random.IntN(len(accepted))])
		}
		if world.random.IntN(4) == 0 && len(accepted) > 0 {
			world.users.Cancel(accepted[world.random.IntN(len(accepted))])
		}
	}
	world.endAllFaults()
	world.cancelDaemons(accepted)
	world.pollUntilOver(accepted)
	world.checkAllOver(reporter, seed, accepted)
}

// startRandomFaults lets the network lose, repeat and copy some packets, and adds three
// machines.
func (world *World) startRandomFaults() {
	world.network.lossShare, world.network.lateRepeatShare = 0.01, 0.05
	world.network.duplicateShare, world.network.duplicateDelay = 0.05, 30*time.Second
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

// cancelDaemons cancels the jobs that do not end by themselves.
func (world *World) cancelDaemons(ids []string) {
	for _, id := range ids {
		if world.jobs[id].shape == shapeDaemon {
			world.users.Cancel(id)
		}
	}
}

// checkAllOver checks that all jobs are over, all machines are given back and the rules are
// kept.
func (world *World) checkAllOver(reporter errorReporter, seed uint64, ids []string) {
	for _, id := range ids {
		if !world.checker.isOver(id) {
			reporter.Errorf("seed %d: %s is still %s: %+v\n%s", seed, id, world.checker.acknowledgedPhase[id], *world.jobs[id], world.storedOf(id))
		}
	}
	if left := world.waitForMachinesReleased(); left != "" {
		reporter.Errorf("seed %d: nothing runs, and these machines are kept: %s\n%s", seed, left, strings.Join(world.listKeys(runKeyPrefix), "\n"))
	}
	if verdict := world.Verdict(); verdict != "kept" {
		reporter.Errorf("seed %d: %s", seed, verdict)
	}
}

// storedOf is what the state service holds of a job.
func (world *World) storedOf(id string) string {
	return strings.Join(append(world.listKeys(jobKeyPrefix+id), world.listKeys(runKeyPrefix+id)...), "\n")
}

// waitForMachinesReleased plays until all machines are given back, for five minutes at most,
// and names those that are not.
func (world *World) waitForMachinesReleased() string {
	for range 150 {
		if len(world.cloud.machines) == 0 {
			return ""
		}
		world.Run(seconds(2))
	}
	return strings.Join(slices.Sorted(maps.Keys(world.cloud.machines)), ", ")
}

// pollUntilOver polls jobs until they are over, for four minutes at most.
func (world *World) pollUntilOver(open []string) {
	for range 120 {
		left := 0
		for _, id := range open {
			if !world.checker.isOver(id) {
				left++
				world.users.Poll(id)
			}
		}
		if left == 0 {
			break
		}
		world.Run(seconds(2))
	}
}

// endAllFaults ends all faults.
func (world *World) endAllFaults() {
	world.Run(max(seconds(25), world.faultsEndAt-world.now))
	world.cloud.bootFailures, world.cloud.down = 0, false
	world.network.lossShare, world.network.lateRepeatShare, world.network.duplicateShare = 0, 0, 0
	world.network.lateWrites, world.network.delayedHeartbeats, world.network.delayedCommands = 0, 0, 0
	world.users.cancelAtEnd, world.users.invalidRequests = 0, false
	world.Run(maxDelay) // what was delayed arrives
	world.checker.faultsOverAt = world.now
	for _, process := range world.controllers {
		process.bootIfDown()
	}
}
