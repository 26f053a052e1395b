package simtest

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// pipelineCommands submit and watch jobs that need others.
var pipelineCommands = map[string]command{
	"line": {
		usage:      "submits jobs that each need the one before",
		parameters: jobRangeParameters,
		run:        printing(submitLine),
	},
	"finished_jobs": {
		usage: "adds jobs that were over long ago",
		parameters: []parameter{
			numberParameter("from", "number of the first ID, 1 if absent"),
			numberParameter("count", "jobs"),

			choiceParameter("phase", "done if absent", "done", "cancelled"),
		},
		run: acting((*World).addFinishedJobs),
	},
	"tally": {
		usage: "counts the phases last acknowledged of many jobs, polling those that are not over",
		parameters: []parameter{
			numberParameter("from", "number of the first ID, 1 if absent"),

			numberParameter("count", "jobs"),
			durationParameter("within", "polls until all are over or for so long"),
		},
		run: printing((*World).tally),
	},
	"owner": {
		usage:      "prints the controller that owns a job",
		parameters: jobIDParameters,
		run:        printing(ownerOf),
	},
	"order": {
		usage: "tells whether a job began before another",
		parameters: withParameters(
			jobIDParameters,
			required(textParameter("before", "ID of the other job")),
		),
		run: startOrder,
	},
}

// submitLine submits jobs of which each needs the one before.
func submitLine(world *World, arguments Arguments) string {
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

// ownerOf names the controller that owns a job.
func ownerOf(world *World, arguments Arguments) string {
	var record ownerRecord
	_ = json.Unmarshal(world.stateService.keys[jobKeyPrefix+arguments["id"]].data, &record)
	return record.Owner
}

// startOrder reports whether a job began before another.
func startOrder(world *World, arguments Arguments, _ string) (string, error) {
	first, second := world.jobs[arguments["id"]], world.jobs[arguments["before"]]
	switch {
	case first == nil || second == nil:
		return "", errors.New("a job was not submitted")
	case first.startedAt == 0 || second.startedAt == 0:
		return "not both have begun", nil
	case first.startedAt < second.startedAt:
		return "before", nil
	}
	return "not before", nil
}

// addFinishedJobs adds jobs that were over long ago, as the state service keeps
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

// tally counts the last acknowledged phases of so many jobs from an ID on,
// polling those that are not over until they are or the time has run out.
func (world *World) tally(arguments Arguments) string {
	first, n := int(arguments.number("from", "1")), int(arguments.number("count", "1"))
	end := world.now + arguments.duration("within", "0s")
	for {
		count := map[string]int{}
		open := 0
		for i := range n {
			id := jobID(first + i)
			if !world.checker.isOver(id) {
				world.users.Poll(id)
			}
			if !world.checker.isOver(id) {
				open++
			}
			count[world.checker.acknowledgedPhase[id]]++
		}
		if open == 0 || world.now >= end {
			return countsText(count)
		}
		world.Run(time.Second)
	}
}

// countsText lists counts as name=count, by name.
func countsText(count map[string]int) string {
	parts := make([]string, 0, len(count))
	for _, name := range slices.Sorted(maps.Keys(count)) {
		parts = append(parts, fmt.Sprintf("%s=%d", name, count[name]))
	}
	return strings.Join(parts, " ")
}
