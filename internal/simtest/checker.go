package simtest

import (
	"fmt"
	"slices"
	"sort"
	"strings"
	"time"
)

// Checker checks the invariants of the protocol. It observes only what workers execute
// and which answers users get, and ignores what controllers store and what they send each
// other, with four exceptions. No downstream job may start before the done record of its
// upstream job exists. No machine may be commanded to start a task that no run record has
// assigned to it. No controller may relay two heartbeats under the same ID. No controller may
// give the command to start a task once its cancellation is acknowledged, whether or not a worker
// gets that command.
type Checker struct {
	world          *World
	Violations     []string                     // in order of detection, each with its virtual time
	faultsOverAt   time.Duration                // when the last fault ended; zero while faults may occur
	instances      map[string][]*taskAssignment // started attempts that may still be on machines, by task
	upstreamDoneAt map[string]time.Duration     // when all upstream jobs of a job were done, by job ID
	relayIDs       relayIDs
	assignments
	startCommands
	answerHistory
	cancellations
	placeableJobs
	counters
}

// answerHistory holds the answers that users received, by job ID.
type answerHistory struct {
	acknowledgedPhase map[string]string        // phase in the last answer
	acknowledgedAt    map[string]time.Duration // when that phase was first returned
	pollAnsweredAt    map[string]time.Duration // when a poll was last answered with 200, at first the time of the first poll
}

// cancellations holds the cancellations that users requested, by job ID.
type cancellations struct {
	cancelRequests       map[string]bool          // jobs with a requested cancellation
	cancelAcknowledgedAt map[string]time.Duration // when the cancellation was first acknowledged
}

// counters holds the counts that scenarios print.
type counters struct {
	starts                       int
	startsAfterCancellation      int            // starts of tasks whose cancellation was already acknowledged
	startsGivenAfterCancellation int            // commands to start such tasks, given after the acknowledgement
	refusals                     map[string]int // commands refused by workers, by cause
	unansweredHeartbeats         int
}

func newChecker(world *World) *Checker {
	return &Checker{
		world:          world,
		instances:      map[string][]*taskAssignment{},
		upstreamDoneAt: map[string]time.Duration{},
		assignments:    newAssignments(),
		relayIDs:       newRelayIDs(),
		startCommands:  newStartCommands(),
		answerHistory: answerHistory{
			acknowledgedPhase: map[string]string{},
			acknowledgedAt:    map[string]time.Duration{},
			pollAnsweredAt:    map[string]time.Duration{},
		},
		cancellations: cancellations{cancelRequests: map[string]bool{}, cancelAcknowledgedAt: map[string]time.Duration{}},
		placeableJobs: placeableJobs{placeableSince: map[string]time.Duration{}, recentFree: map[*fakeWorker][]freeCapacity{}},
		counters:      counters{refusals: map[string]int{}},
	}
}

// reportViolation records the violation of an invariant with the current virtual time.
func (checker *Checker) reportViolation(format string, values ...any) {
	checker.Violations = append(checker.Violations, fmt.Sprintf("%.2fs ", checker.world.now.Seconds())+fmt.Sprintf(format, values...))
}

// countRefusal counts a command refused by a worker.
func (checker *Checker) countRefusal(cause string) { checker.refusals[cause]++ }

// invariantCheckInterval is the interval between two checks of the invariants.
const invariantCheckInterval = 500 * time.Millisecond

// watchInvariants checks the invariants now and then periodically.
func (world *World) watchInvariants() {
	world.checker.checkInvariants()
	world.schedule(invariantCheckInterval, world.watchInvariants)
}

// Verdict returns "kept" if no invariant, limit or protocol rule was violated, and
// otherwise the violations, one per line.
func (world *World) Verdict() string {
	all := slices.Concat(world.checker.Violations, world.limitViolations)
	if len(all) == 0 {
		return "kept"
	}
	return strings.Join(all, "\n")
}

// forEachExecuting calls visit for every task that executes on a machine, in no particular order.
func (checker *Checker) forEachExecuting(visit func(assignment *taskAssignment)) {
	for _, worker := range checker.world.workers {
		if len(worker.assignments) == 0 || !worker.up || worker.hungPastLease() {
			continue
		}
		for _, assignment := range worker.assignments {
			if assignment.isExecuting() {
				visit(assignment)
			}
		}
	}
}

// executingAssignments returns every task that executes on a machine, sorted by task and machine name.
func (checker *Checker) executingAssignments() []*taskAssignment {
	var list []*taskAssignment
	checker.forEachExecuting(func(assignment *taskAssignment) { list = append(list, assignment) })
	sort.Slice(list, func(a, b int) bool {
		return list[a].name < list[b].name || (list[a].name == list[b].name && list[a].worker.name < list[b].worker.name)
	})
	return list
}

// checkInvariants checks the invariants that must hold at any time.
func (checker *Checker) checkInvariants() {
	checker.recordUpstreamDoneTimes()
	checker.checkCancelledStopped()
	checker.checkPlaceableJobs()
}

// countStopCommand counts a stop command that a worker executes, unless the task is already
// stopping or its job is finished or cancelled.
func (checker *Checker) countStopCommand(assignment *taskAssignment) {
	job := assignment.job
	if job == nil || assignment.phase == taskSaving {
		return
	}
	if finished := len(job.completed) >= job.taskCount; !finished && !checker.cancelRequested(job.id) {
		job.stoppedTasks++
	}
}
