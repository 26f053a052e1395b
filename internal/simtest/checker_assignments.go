package simtest

import (
	"strings"

	"lugward/internal/record"
)

// maxSegmentWords is the number of bitmap words in the largest run record: 1,024 tasks.
const maxSegmentWords = 1024 / record.BitsPerWord

// attemptKey identifies an attempt of a task.
type attemptKey struct {
	task    string // name of the task
	attempt uint64
}

// job returns the ID of the job of the task.
func (key attemptKey) job() string {
	id, _, _ := strings.Cut(key.task, "/")
	return id
}

// assignments holds the assignments in the run records of the state service.
type assignments struct {
	// assignedMachine holds the machine of each attempt that a run record has ever listed.
	assignedMachine map[attemptKey]string
	// assignedTimes counts how often an attempt was added to a run record. A task of a gang that
	// was lost may be assigned again under the same attempt.
	assignedTimes map[attemptKey]int
	listed        map[string]map[attemptKey]bool // attempts that a run record lists now, by key
}

func newAssignments() assignments {
	return assignments{
		assignedMachine: map[attemptKey]string{},
		assignedTimes:   map[attemptKey]int{},
		listed:          map[string]map[attemptKey]bool{},
	}
}

// recordAssignments records which machines a value of the state service assigns tasks to. It
// ignores values that are not valid run records.
func (checker *Checker) recordAssignments(key string, value []byte) {
	rest, isRun := strings.CutPrefix(key, runKeyPrefix)
	id, _, hasSegment := record.SplitNumberedKey(rest)
	if !isRun || !hasSegment {
		return
	}
	run, err := record.DecodeRun(value, maxSegmentWords)
	if err != nil {
		return
	}
	before, now := checker.listed[key], map[attemptKey]bool{}
	for _, assignment := range run.Active {
		attempt := attemptKey{taskName(id, assignment.Task), assignment.Attempt}
		now[attempt] = true
		checker.assignedMachine[attempt] = assignment.Machine
		if !before[attempt] {
			checker.assignedTimes[attempt]++
		}
	}
	checker.listed[key] = now
}

// checkAssigned checks that a machine that is commanded to start an attempt of a task is the
// one that the state service assigned it to before. An attempt number is never used for two
// machines. The command of another machine, or one from a leader that did not persist the
// assignment first, is a violation even if the task is stopped before it executes.
func (checker *Checker) checkAssigned(worker *fakeWorker, command taskCommand) {
	if machine := checker.assignedMachine[attemptKey{command.Task, command.Attempt}]; machine != worker.name {
		checker.reportViolation("start command reached a machine without the assignment: task %s attempt %d is commanded on %s, but assigned to %q",
			command.Task, command.Attempt, worker.name, machine)
	}
}
