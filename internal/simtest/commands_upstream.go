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
	"line": {"submits jobs that each need the one before", jobRangeParameters, printing(submitLine)},
	"finished_jobs": {"adds jobs that were over long ago", []parameter{numberParameter("from", "number of the first ID, 1 if absent"), numberParameter("count", "jobs"),
		choiceParameter("phase", "done if absent", "done", "cancelled")}, acting((*World).addFinishedJobs)},
	"tally": {"counts the phases last acknowledged of many jobs, polling those that are not over", []parameter{numberParameter("from", "number of the first ID, 1 if absent"),
		numberParameter("count", "jobs"), durationParameter("within", "polls until all are over or for so long")}, printing((*World).tally)},
	"owner": {"prints the controller that owns a job", jobIDParameters, printing(ownerOf)},
	"order": {"tells whether a job began before another", withParameters(jobIDParameters, required(textParameter("before", "ID of the other job"))), startOrder},
}

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

func ownerOf(world *World, arguments Arguments) string {
	var r struct {
		Owner string `json:"o"`
	}
	_ = json.Unmarshal(world.stateService.keys["j/"+arguments["id"]].data, &r)
	return r.Owner
}

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
		world.stateService.putValue("f/"+id, fmt.Sprintf(`{"p":%q,"n":1}`, phase))
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
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(count)) {
		parts = append(parts, fmt.Sprintf("%s=%d", name, count[name]))
	}
	return strings.Join(parts, " ")
}

// race lets so many pairs meet, each a little later against the other: a job is
// cancelled and, from before to after it, one that needs it is submitted
// ("submit"), or a job is cancelled about when its last task ends, while another
// waits for it ("done"). It tells whether each pair ended alike.
func (world *World) race(arguments Arguments) string {
	first, count, step := int(arguments.number("from", "1")), int(arguments.number("count", "20")), arguments.duration("step", "10ms")
	for i := range count {
		submission, down := maps.Clone(arguments), maps.Clone(arguments)
		submission["id"], down["id"], down["awaits"] = jobID(first+2*i), jobID(first+2*i+1), jobID(first+2*i)
		world.users.Submit(submission)
		offset := step * time.Duration(i-count/2)
		if arguments["with"] == "done" {
			world.users.Submit(down)
			world.cancelAroundEnd(world.jobs[submission["id"]], offset)
			continue
		}
		world.schedule(max(0, -offset), func() { world.users.cancelRecorded(submission["id"]) })
		world.schedule(max(0, offset), func() { world.users.submitRecorded(down) })
	}
	world.Run(step*time.Duration(count) + time.Second)
	if !world.users.waitForRecordedAnswers(2 * userRetry) {
		return "not all are answered"
	}
	return world.raceOutcome(first, count, arguments.duration("within", "120s"), arguments.has("both"))
}

// cancelAroundEnd cancels a job that much after the expected end of its tasks.
func (world *World) cancelAroundEnd(job *jobRecord, offset time.Duration) {
	if job.startedAt == 0 {
		world.schedule(tickInterval, func() { world.cancelAroundEnd(job, offset) })
		return
	}
	world.schedule(max(0, job.startedAt+job.runTime-world.now+offset), func() { world.users.cancelRecorded(job.id) })
}

// raceOutcome polls the pairs of a race until each has ended alike.
func (world *World) raceOutcome(first, pairs int, within time.Duration, both bool) string {
	for end := world.now + within; ; world.Run(time.Second) {
		for i := range 2 * pairs {
			if id := jobID(first + i); !world.checker.isOver(id) {
				world.users.Poll(id)
			}
		}
		ends := map[string]int{}
		for i := range pairs {
			ends[world.checker.acknowledgedPhase[jobID(first+2*i)]+"/"+world.checker.acknowledgedPhase[jobID(first+2*i+1)]]++
		}
		if ends["done/done"]+ends["cancelled/cancelled"] == pairs {
			if both && (ends["done/done"] == 0 || ends["cancelled/cancelled"] == 0) {
				return fmt.Sprintf("alike, but all one way: %v", ends)
			}
			return "alike"
		}
		if world.now >= end {
			return fmt.Sprint(ends)
		}
	}
}
