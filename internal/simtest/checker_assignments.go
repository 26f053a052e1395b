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
	for _, assignment := range run.Active {
		checker.assignedMachine[attemptKey{taskName(id, assignment.Task), assignment.Attempt}] = assignment.Machine
	}
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
