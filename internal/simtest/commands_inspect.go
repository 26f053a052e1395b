package simtest

import (
	"fmt"
	"sort"
	"strconv"
	"strings"

	"lugward/internal/controller"
)

// inspectionCommands print or check the state of the simulated cluster. They change nothing,
// except that check_half_started records a violation if its check fails.
var inspectionCommands = map[string]command{
	"check_rules": {
		usage: `prints the violations of the checker's rules, "kept" if there are none`,
		run:   printCommand(func(world *World, _ Arguments) string { return world.Verdict() }),
	},
	"check_half_started": {
		usage: "checks that half of the jobs of each class, of each team and of the largest jobs have started by now",
		run:   printCommand(func(world *World, _ Arguments) string { return world.checker.checkServed() }),
	},
	"check_work": {
		usage: "checks upper bounds on the work of all controllers",
		parameters: []parameter{
			required(numberParameter("decoded_percent", "percentage of the bytes of heartbeats that are decoded")),
			required(numberParameter("capacities", "machine capacities that are recomputed")),
			required(numberParameter("writes", "keys written to the state service")),
		},
		run: printCommand(checkWork),
	},
	"tasks_by_zone": {
		usage: "prints the number of a job's tasks that are on machines, by zone",
		parameters: withParameters(
			jobIDParameters,
			flagParameter("largest_first", "prints the larger number first, without the names of the zones"),
		),
		run: printCommand(tasksByZone),
	},
	"machines_by_type": {
		usage: "prints the number of machines that are provisioned and neither released nor terminated, by type",
		run:   printCommand(machinesByType),
	},
	"keys": {
		usage:      "prints keys and values of the state service",
		parameters: []parameter{required(textParameter("prefix", "prefix of the keys"))},
		run: printCommand(func(world *World, arguments Arguments) string {
			return strings.Join(world.listKeys(arguments["prefix"]), "\n")
		}),
	},
	"job_machines": {
		usage:      "prints the number of machines that run a job's tasks, and how many of them are slow",
		parameters: jobIDParameters,
		run:        printCommand(machinesOfJob),
	},
	"completed_tasks": {
		usage:      "prints the number of a job's tasks that have completed",
		parameters: jobIDParameters,
		run:        jobCountCommand(func(job *jobRecord) int { return len(job.completed) }),
	},
	"running_tasks": {
		usage:      "prints the number of a job's tasks that are on machines",
		parameters: jobIDParameters,
		run:        printCommand(runningTasks),
	},
	"acknowledged_phase": {
		usage:      "prints the last acknowledged phase of a job",
		parameters: jobIDParameters,
		run: printCommand(func(world *World, arguments Arguments) string {
			return world.checker.acknowledgedPhase[arguments["id"]]
		}),
	},
	"leader": {
		usage: `prints the name of the leader, "none" if there is none`,
		run:   printCommand(leaderName),
	},
	"machine_of": {
		usage:      "prints the machine that a task is on",
		parameters: []parameter{required(textParameter("task", "task"))},
		run:        printCommand(machineName),
	},
	"machine_state": {
		usage: "prints the state of a machine: booting, up, failed (its worker crashed, the cloud still lists it) or gone (released or terminated)",

		parameters: []parameter{required(textParameter("machine", "name of the machine"))},
		run:        printCommand(func(world *World, arguments Arguments) string { return world.cloud.machineState(arguments["machine"]) }),
	},
	"starts": {
		usage: "prints the number of task starts that workers executed",
		run:   countCommand(func(world *World) int { return world.checker.starts }),
	},
	"connected_workers": {
		usage: "prints how many workers are connected to each controller",
		run:   printCommand(workersByController),
	},
	"unanswered_heartbeats": {
		usage: "prints the number of workers' heartbeats that got no response",
		run:   countCommand(func(world *World) int { return world.checker.unansweredHeartbeats }),
	},
	"starts_after_cancellation": {
		usage: "prints the number of task starts after an acknowledged cancellation of their job",
		run:   countCommand(func(world *World) int { return world.checker.startsAfterCancellation }),
	},
	"rate_limited_requests": {
		usage: "prints the number of requests that the state service rejected because of its rate limits",
		run:   countCommand(func(world *World) int { return world.stateService.rateLimitedCount }),
	},
	"oversized_writes": {
		usage: "prints the number of writes that the state service rejected because of their size",
		run:   countCommand(func(world *World) int { return world.stateService.tooLargeCount }),
	},
	"provisioned": {
		usage: "prints the number of machines that controllers have provisioned so far",
		run:   countCommand((*World).provisioned),
	},
	"attempts": {
		usage:      "prints the number of task starts of a job, counted once the image is fetched; in a gang, each task of an attempt counts",
		parameters: jobIDParameters,
		run:        jobCountCommand(func(job *jobRecord) int { return job.startedAttempts }),
	},
	"stopped": {
		usage: "prints the number of tasks, of one job or of all, that a command stopped while their job was neither done nor cancelled",

		parameters: []parameter{textParameter("id", "job ID, all if absent")},
		run:        printCommand(stoppedTasks),
	},
}

// countCommand returns a commandFunc that prints a number.
func countCommand(number func(world *World) int) commandFunc {
	return printCommand(func(world *World, _ Arguments) string { return strconv.Itoa(number(world)) })
}

// checkWork checks the work of all controllers together against upper bounds: the percentage of
// heartbeat bytes that they decoded, the machine capacities that they recomputed in rounds, and the
// keys that they wrote.
func checkWork(world *World, arguments Arguments) string {
	var sum controller.WorkCounters
	for _, process := range world.controllers {
		one := process.controller.WorkCounters()
		sum.WorkerHeartbeats += one.WorkerHeartbeats
		sum.BytesDecoded += one.BytesDecoded
		sum.BytesUnchanged += one.BytesUnchanged
		sum.Rounds += one.Rounds
		sum.CapacitiesRecomputed += one.CapacitiesRecomputed
	}
	if float64(sum.BytesDecoded) <= arguments.number("decoded_percent", "0")/100*float64(sum.BytesDecoded+sum.BytesUnchanged) &&
		float64(sum.CapacitiesRecomputed) <= arguments.number("capacities", "0") &&
		world.stateService.writtenKeys <= int(arguments.number("writes", "0")) {
		return "within limits"
	}
	return fmt.Sprintf("%+v, %d writes", sum, world.stateService.writtenKeys)
}

// tasksOf returns the tasks of a job that are on machines.
func (world *World) tasksOf(id string) (tasks []*taskAssignment) {
	for _, assignment := range world.checker.executingAssignments() {
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
	if arguments.has("largest_first") {
		return fmt.Sprintf("%d+%d", max(zone["a"], zone["b"]), min(zone["a"], zone["b"]))
	}
	return fmt.Sprintf("a=%d b=%d", zone["a"], zone["b"])
}

// machinesByType counts the cloud's machines by type.
func machinesByType(world *World, _ Arguments) string {
	types := map[string]int{}
	for _, machine := range world.cloud.machines {
		types[machine.machineType]++
	}
	return formatCounts(types)
}

// machinesOfJob counts the machines that run tasks of a job, and how many of them are slow.
func machinesOfJob(world *World, arguments Arguments) string {
	machines := map[string]bool{}
	slow := 0
	for _, assignment := range world.tasksOf(arguments["id"]) {
		if !machines[assignment.worker.name] && assignment.worker.slowdown > 0 {
			slow++
		}
		machines[assignment.worker.name] = true
	}
	return fmt.Sprintf("%d machines, %d slow", len(machines), slow)
}

// runningTasks counts the tasks of a job that are on machines.
func runningTasks(world *World, arguments Arguments) string {
	return strconv.Itoa(len(world.tasksOf(arguments["id"])))
}

// jobCountCommand returns a commandFunc that prints a number of a submitted job.
func jobCountCommand(number func(job *jobRecord) int) commandFunc {
	return func(world *World, arguments Arguments, _ string) (string, error) {
		job := world.jobs[arguments["id"]]
		if job == nil {
			return "", fmt.Errorf("job %s was not submitted", arguments["id"])
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

// leaderName returns the name of the leader, "none" if there is none.
func leaderName(world *World, _ Arguments) string {
	if process := world.leader(); process != nil {
		return process.name
	}
	return "none"
}

// machineName returns the name of the machine that a task is on.
func machineName(world *World, arguments Arguments) string {
	worker := world.workerOf(arguments["task"])
	if worker == nil {
		return errNotOnMachine.Error()
	}
	return worker.name
}

// machineState returns the state of a machine as the command machine_state prints it.
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

// provisioned returns the number of machines that controllers have provisioned.
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

// listKeys returns the keys with a prefix and their values in the state service, sorted by key.
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
