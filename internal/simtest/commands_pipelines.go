package simtest

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"lugward/internal/jsonwire"
)

// pipelineCommands submit and inspect jobs with upstream jobs.
var pipelineCommands = map[string]command{
	"submit_chain": {
		usage:      "submits jobs, each with the previous one as its upstream job",
		parameters: jobRangeParameters,
		run:        printCommand(submitChain),
	},
	"add_finished_jobs": {
		usage: "adds jobs that ended long ago",
		parameters: []parameter{
			numberParameter("from", "number of the first job ID, 1 if absent"),
			numberParameter("count", "number of jobs"),

			choiceParameter("phase", "done if absent", "done", "cancelled"),
		},
		run: actionCommand((*World).addFinishedJobs),
	},
	"count_phases": {
		usage: "prints how many jobs have each last acknowledged phase, after polling those that have not ended",
		parameters: []parameter{
			numberParameter("from", "number of the first job ID, 1 if absent"),

			numberParameter("count", "number of jobs"),
			durationParameter("within", "polls until all jobs have ended, for this long at most"),
		},
		run: printCommand((*World).countPhases),
	},
	"owner": {
		usage:      "prints the controller that owns a job",
		parameters: jobIDParameters,
		run:        printCommand(jobOwner),
	},
	"start_order": {
		usage: "prints whether a job started before another",
		parameters: withParameters(
			jobIDParameters,
			required(textParameter("before", "ID of the other job")),
		),
		run: startOrder,
	},
}

// submitChain submits jobs, each with the previous one as its upstream job.
func submitChain(world *World, arguments Arguments) string {
	for i := range int(arguments.number("count", "2")) {
		one := maps.Clone(arguments)
		count := int(arguments.number("from", "1")) + i
		one["id"] = jobID(count)
		if i > 0 {
			one["awaits"] = jobID(count - 1)
		}
		if status, phase := world.users.Submit(one); !isAccepted(status) {
			return statusAndPhase(status, phase)
		}
	}
	return "accepted"
}

// jobOwner returns the name of the controller that owns a job.
func jobOwner(world *World, arguments Arguments) string {
	var record ownerRecord
	_ = jsonwire.Unmarshal(world.stateService.keys[jobKeyPrefix+arguments["id"]].data, &record)
	return record.Owner
}

// startOrder reports whether a job started before another.
func startOrder(world *World, arguments Arguments, _ string) (string, error) {
	first, second := world.jobs[arguments["id"]], world.jobs[arguments["before"]]
	switch {
	case first == nil || second == nil:
		return "", fmt.Errorf("job %s or %s was not submitted", arguments["id"], arguments["before"])
	case first.startedAt == 0 || second.startedAt == 0:
		return "not both started", nil
	case first.startedAt < second.startedAt:
		return "before", nil
	}
	return "not before", nil
}

// addFinishedJobs adds jobs that ended long ago, in the form in which the state service keeps
// them.
func (world *World) addFinishedJobs(arguments Arguments) {
	for i := range int(arguments.number("count", "1")) {
		id := jobID(int(arguments.number("from", "1")) + i)
		world.users.registerJob(Arguments{"id": id})
		job := world.jobs[id]
		job.submitted = true
		phase := arguments.text("phase", "done")
		if phase == jobDone {
			job.completed[0] = true
		} else {
			world.checker.cancelRequests[id] = true
		}
		world.checker.acknowledgedPhase[id] = phase
		world.stateService.putTerminalRecord(id, phase)
	}
	world.stateService.notifyWatchers()
}

// countPhases counts the last acknowledged phases of consecutive jobs. It polls the jobs that have
// not ended until all have ended or the time is up.
func (world *World) countPhases(arguments Arguments) string {
	first, n := int(arguments.number("from", "1")), int(arguments.number("count", "1"))
	end := world.now + arguments.duration("within", "0s")
	for {
		count := map[string]int{}
		open := 0
		for i := range n {
			id := jobID(first + i)
			if !world.checker.hasEnded(id) {
				world.users.Poll(id)
			}
			if !world.checker.hasEnded(id) {
				open++
			}
			count[world.checker.acknowledgedPhase[id]]++
		}
		if open == 0 || world.now >= end {
			return formatCounts(count)
		}
		world.Run(time.Second)
	}
}

// formatCounts formats counts as name=count, sorted by name.
func formatCounts(count map[string]int) string {
	parts := make([]string, 0, len(count))
	for _, name := range slices.Sorted(maps.Keys(count)) {
		parts = append(parts, fmt.Sprintf("%s=%d", name, count[name]))
	}
	return strings.Join(parts, " ")
}
