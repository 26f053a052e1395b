package simtest

import (
	"fmt"
	"slices"
	"sort"
	"strings"
	"time"
)

// Checker watches the rules of the protocol. It knows nothing of the service's
// own records: only what workers do and what is answered to users. The one
// exception are done records, without which no job that needs another may start.
type Checker struct {
	world        *World
	Violations   []string                     // of the rules, with their times
	faultsOverAt time.Duration                // when the last fault ended, 0: not yet
	instances    map[string][]*taskAssignment // by task, the attempts that have started and may be on machines
	releasedAt   map[string]time.Duration     // when all was done that a job needs
	answerHistory
	cancellations
	capacityWaits
	counters
}

// answerHistory is what users were answered, by job.
type answerHistory struct {
	acknowledgedPhase map[string]string        // last phase answered
	acknowledgedAt    map[string]time.Duration // when that was first answered
	answeredAt        map[string]time.Duration // when a request was last answered
}

// cancellations are those of users, by job.
type cancellations struct {
	cancelRequests       map[string]bool          // asked for
	cancelAcknowledgedAt map[string]time.Duration // when it was first acknowledged
}

// counters count what scenarios print.
type counters struct {
	starts                  int
	startsAfterCancellation int            // starts after an acknowledged cancellation
	refusals                map[string]int // commands that workers refused, by cause
	unansweredHeartbeats    int
}

func newChecker(world *World) *Checker {
	return &Checker{
		world:      world,
		instances:  map[string][]*taskAssignment{},
		releasedAt: map[string]time.Duration{},
		answerHistory: answerHistory{
			acknowledgedPhase: map[string]string{},
			acknowledgedAt:    map[string]time.Duration{},
			answeredAt:        map[string]time.Duration{},
		},
		cancellations: cancellations{cancelRequests: map[string]bool{}, cancelAcknowledgedAt: map[string]time.Duration{}},
		capacityWaits: capacityWaits{waitingSince: map[string]time.Duration{}, recentFree: map[*fakeWorker][]freeCapacity{}},
		counters:      counters{refusals: map[string]int{}},
	}
}

// reportViolation notes that a rule is broken.
func (checker *Checker) reportViolation(format string, values ...any) {
	checker.Violations = append(checker.Violations, fmt.Sprintf("%.2fs ", checker.world.now.Seconds())+fmt.Sprintf(format, values...))
}

// countRefusal counts a command that a worker refused.
func (checker *Checker) countRefusal(cause string) { checker.refusals[cause]++ }

// invariantCheckInterval is how often the invariants are checked.
const invariantCheckInterval = 500 * time.Millisecond

// watchInvariants checks what must hold at any time.
func (world *World) watchInvariants() {
	world.checker.checkInvariants()
	world.schedule(invariantCheckInterval, world.watchInvariants)
}

// Verdict is "kept" or what was broken.
func (world *World) Verdict() string {
	all := slices.Concat(world.checker.Violations, world.limitViolations)
	if len(all) == 0 {
		return "kept"
	}
	return strings.Join(all, "\n")
}

// eachOnMachine visits every task that is on a machine, in any order.
func (checker *Checker) eachOnMachine(visit func(assignment *taskAssignment)) {
	for _, worker := range checker.world.workers {
		if len(worker.assignments) == 0 || !worker.up || worker.certainlyLost() {
			continue
		}
		for _, assignment := range worker.assignments {
			if assignment.onMachine() {
				visit(assignment)
			}
		}
	}
}

// onMachines lists every task that is on a machine, sorted by name and machine.
func (checker *Checker) onMachines() []*taskAssignment {
	var list []*taskAssignment
	checker.eachOnMachine(func(assignment *taskAssignment) { list = append(list, assignment) })
	sort.Slice(list, func(a, b int) bool {
		return list[a].name < list[b].name || (list[a].name == list[b].name && list[a].worker.name < list[b].worker.name)
	})
	return list
}

// checkInvariants checks what must hold at any time.
func (checker *Checker) checkInvariants() {
	checker.noteReleased()
	checker.checkCancelledStopped()
	checker.checkWaitsBesideCapacity()
}

// countStop is called when a worker executes a stop: it counts for a task that was
// not being stopped yet and whose job is neither finished nor cancelled.
func (checker *Checker) countStop(assignment *taskAssignment) {
	job := assignment.job
	if job == nil || assignment.phase == taskSaving {
		return
	}
	if finished := len(job.completed) >= job.taskCount; !finished && !checker.cancelRequested(job.id) {
		job.stoppedTasks++
	}
}
