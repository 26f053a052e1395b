package simtest

import (
	"errors"
	"fmt"
	"sort"
	"strconv"
	"strings"

	"lugward/internal/controller"
)

// inspectionCommands print what came of everything; they change nothing.
var inspectionCommands = map[string]command{
	"rules": {
		usage: `prints "kept" or the rules that were broken`,
		run:   printing(func(world *World, _ Arguments) string { return world.Verdict() }),
	},
	"served": {
		usage: "checks that half of each class, of each team and of the largest jobs have begun in time",
		run:   printing(func(world *World, _ Arguments) string { return world.checker.checkServed() }),
	},
	"work": {
		usage: "checks how much work controllers did",
		parameters: []parameter{
			required(numberParameter("decoded", "percent of the bytes of heartbeats")),
			required(numberParameter("counted", "machine capacities")),
			required(numberParameter("writes", "writes")),
		},
		run: printing(workDone),
	},
	"zones": {
		usage: "prints the tasks of a job that are on machines, by zone",
		parameters: withParameters(
			jobIDParameters,
			flagParameter("either", "the larger number first, whatever the zone"),
		),
		run: printing(tasksByZone),
	},
	"machines": {
		usage: "prints the machines that the cloud has provisioned and not taken back, by type",
		run:   printing(machinesByType),
	},
	"keys": {
		usage:      "prints keys and values of the state service",
		parameters: []parameter{required(textParameter("prefix", "of the keys"))},
		run: printing(func(world *World, arguments Arguments) string {
			return strings.Join(world.listKeys(arguments["prefix"]), "\n")
		}),
	},
	"job_machines": {
		usage:      "prints the number of machines that a job's tasks are on, and how many are slow",
		parameters: jobIDParameters,
		run:        printing(machinesOfJob),
	},
	"completed": {
		usage:      "prints the number of a job's tasks that have completed",
		parameters: jobIDParameters,
		run:        countOfJob(func(job *jobRecord) int { return len(job.completed) }),
	},
	"running_tasks": {
		usage:      "prints the number of a job's tasks that are on machines",
		parameters: jobIDParameters,
		run:        printing(runningTasks),
	},
	"acknowledged": {
		usage:      "prints the phase of a job that was last acknowledged",
		parameters: jobIDParameters,
		run: printing(func(world *World, arguments Arguments) string {
			return world.checker.acknowledgedPhase[arguments["id"]]
		}),
	},
	"leads": {
		usage: "prints the leader",
		run:   printing(leaderName),
	},
	"machine_of": {
		usage:      "prints the machine that a task is on",
		parameters: []parameter{required(textParameter("task", "task"))},
		run:        printing(machineName),
	},
	"machine_state": {
		usage: "prints whether a machine is booting, up, failed (its worker ended, the cloud still has it) or gone (returned or terminated)",

		parameters: []parameter{required(textParameter("machine", "name of the machine"))},
		run:        printing(func(world *World, arguments Arguments) string { return world.cloud.machineState(arguments["machine"]) }),
	},
	"starts": {
		usage: "prints the number of starts that workers executed",
		run:   count(func(world *World) int { return world.checker.starts }),
	},
	"connected": {
		usage: "prints how many workers are connected to each controller",
		run:   printing(workersByController),
	},
	"unanswered": {
		usage: "prints the number of workers' heartbeats that got no answer",
		run:   count(func(world *World) int { return world.checker.unansweredHeartbeats }),
	},
	"after": {
		usage: "prints the number of starts after an acknowledged cancellation",
		run:   count(func(world *World) int { return world.checker.startsAfterCancellation }),
	},
	"refused": {
		usage: "prints the number of requests refused by the state service's rates",
		run:   count(func(world *World) int { return world.stateService.refusedForRate }),
	},
	"oversized_writes": {
		usage: "prints the number of writes refused for their size",
		run:   count(func(world *World) int { return world.stateService.tooLarge }),
	},
	"provisioned": {
		usage: "prints the number of machines that controllers have provisioned so far",
		run:   count((*World).provisioned),
	},
	"attempts": {
		usage:      "prints the number of starts that workers executed for a job, from when its image was fetched; each task of a gang's attempt counts",
		parameters: jobIDParameters,
		run:        countOfJob(func(job *jobRecord) int { return job.startedAttempts }),
	},
	"stopped": {
		usage: "prints the number of tasks, of a job or of all, that a command stopped while their job was neither finished nor cancelled",

		parameters: []parameter{textParameter("id", "job ID, all if absent")},
		run:        printing(stoppedTasks),
	},
}

// count makes a commandFunc of what prints a number.
func count(number func(world *World) int) commandFunc {
	return printing(func(world *World, _ Arguments) string { return strconv.Itoa(number(world)) })
}

// workDone checks how much work the controllers did, all together: of the
// bytes of heartbeats they may decode so many hundredths, in a round count the
// machine capacities of so many machines anew, and make so many writes in all.
func workDone(world *World, arguments Arguments) string {
	var sum controller.WorkCounters
	for _, process := range world.controllers {
		one := process.controller.WorkCounters()
		sum.WorkerHeartbeats += one.WorkerHeartbeats
		sum.BytesDecoded += one.BytesDecoded
		sum.BytesUnchanged += one.BytesUnchanged
		sum.Rounds += one.Rounds
		sum.CapacitiesRecomputed += one.CapacitiesRecomputed
	}
	if float64(sum.BytesDecoded) <= arguments.number("decoded", "0")/100*float64(sum.BytesDecoded+sum.BytesUnchanged) &&
		float64(sum.CapacitiesRecomputed) <= arguments.number("counted", "0") &&
		world.stateService.writtenKeys <= int(arguments.number("writes", "0")) {
		return "within"
	}
	return fmt.Sprintf("%+v, %d writes", sum, world.stateService.writtenKeys)
}

// tasksOf lists the tasks of a job that are on machines.
func (world *World) tasksOf(id string) (tasks []*taskAssignment) {
	for _, assignment := range world.checker.onMachines() {
		if assignment.job.id == id {
			tasks = append(tasks, assignment)
		}
	}
	return tasks
}

// tasksByZone counts the tasks of a job that are on machines, by zone.
func tasksByZone(world *World, arguments Arguments) string {
	zone := map[string]int{}
	for _, assignment := range world.tasksOf(arguments["id"]) {
		zone[assignment.worker.zone]++
	}
	if arguments.has("either") {
		return fmt.Sprintf("%d+%d", max(zone["a"], zone["b"]), min(zone["a"], zone["b"]))
	}
	return fmt.Sprintf("a=%d b=%d", zone["a"], zone["b"])
}

// machinesByType counts the cloud's machines, by type.
func machinesByType(world *World, _ Arguments) string {
	types := map[string]int{}
	for _, machine := range world.cloud.machines {
		types[machine.machineType]++
	}
	return countsText(types)
}

// machinesOfJob counts the machines that tasks of a job are on, and the slow ones of them.
func machinesOfJob(world *World, arguments Arguments) string {
	machines := map[string]bool{}
	slow := 0
	for _, assignment := range world.tasksOf(arguments["id"]) {
		if !machines[assignment.worker.name] && assignment.worker.slowdown > 0 {
			slow++
		}
		machines[assignment.worker.name] = true
	}
	return fmt.Sprintf("%d of them slow: %d", len(machines), slow)
}

// runningTasks counts the tasks of a job that are on machines.
func runningTasks(world *World, arguments Arguments) string {
	return strconv.Itoa(len(world.tasksOf(arguments["id"])))
}

// countOfJob makes a commandFunc of what prints a number of a submitted job.
func countOfJob(number func(job *jobRecord) int) commandFunc {
	return func(world *World, arguments Arguments, _ string) (string, error) {
		job := world.jobs[arguments["id"]]
		if job == nil {
			return "", errors.New("the job was not submitted")
		}
		return strconv.Itoa(number(job)), nil
	}
}

// workersByController counts the workers that are connected to each controller.
func workersByController(world *World, _ Arguments) string {
	parts := make([]string, 0, len(world.controllers))
	for _, process := range world.controllers {
		parts = append(parts, fmt.Sprintf("%s=%d", process.name, len(process.connectedWorkers)))
	}
	return strings.Join(parts, " ")
}

// leaderName names the leader.
func leaderName(world *World, _ Arguments) string {
	if process := world.leader(); process != nil {
		return process.name
	}
	return "nobody"
}

// machineName names the machine that a task is on.
func machineName(world *World, arguments Arguments) string {
	worker := world.workerOf(arguments["task"])
	if worker == nil {
		return errNotOnMachine.Error()
	}
	return worker.name
}

// machineState tells what the cloud has of a machine.
func (cloud *fakeCloud) machineState(name string) string {
	machine := cloud.machines[name]
	switch {
	case machine == nil:
		return "gone"
	case machine.worker == nil:
		return "booting"
	case !machine.worker.up:
		return "failed"
	}
	return "up"
}

// provisioned counts the machines that controllers have provisioned.
func (world *World) provisioned() int {
	sum := 0
	for _, names := range world.cloud.provisionedByRequest {
		sum += len(names)
	}
	return sum
}

// stoppedTasks counts the tasks that commands stopped, of one job or of all.
func stoppedTasks(world *World, arguments Arguments) string {
	sum := 0
	for id, job := range world.jobs {
		if wanted, ok := arguments["id"]; !ok || wanted == id {
			sum += job.stoppedTasks
		}
	}
	return strconv.Itoa(sum)
}

// listKeys lists what the state service holds below a prefix.
func (world *World) listKeys(prefix string) []string {
	var keys []string
	for key, stored := range world.stateService.keys {
		if strings.HasPrefix(key, prefix) {
			keys = append(keys, fmt.Sprintf("%s %s", key, stored.data))
		}
	}
	sort.Strings(keys)
	return keys
}
