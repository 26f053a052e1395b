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
	"rules":         {`prints "kept" or the rules that were broken`, nil, show(func(w *World, _ Args) string { return w.Verdict() })},
	"served":        {"checks that half of each class, of each team and of the largest jobs have begun in time", nil, show(func(w *World, _ Args) string { return w.check.served() })},
	"work":          {"checks how much work controllers did", []argument{need(number("decoded", "percent of the bytes of reports")), need(number("counted", "machine capacities")), need(number("writes", "writes"))}, show(workDone)},
	"zones":         {"prints the tasks of a job that are on machines, by zone", withArguments(onlyID, boolean("either", "the larger number first, whatever the zone")), show(tasksByZone)},
	"machines":      {"prints the machines that the cloud has provisioned and not taken back, by type", nil, show(machinesByType)},
	"keys":          {"prints keys and values of the state service", []argument{need(text("prefix", "of the keys"))}, show(func(w *World, a Args) string { return strings.Join(w.Keys(a["prefix"]), "\n") })},
	"job_machines":  {"prints the number of machines that a job's tasks are on, and how many are slow", onlyID, show(machinesOfJob)},
	"completed":     {"prints the number of a job's tasks that have completed", onlyID, countOfJob(func(j *job) int { return len(j.complete) })},
	"running_tasks": {"prints the number of a job's tasks that are on machines", onlyID, show(runningTasks)},
	"acknowledged":  {"prints the phase of a job that was last acknowledged", onlyID, show(func(w *World, a Args) string { return w.check.acknowledged[a["id"]] })},
	"leads":         {"prints the leader", nil, show(leaderName)},
	"machine_of":    {"prints the machine that a task is on", []argument{need(text("task", "task"))}, show(machineName)},
	"machine_state": {"prints whether a machine is booting, up, failed (its worker ended, the cloud still has it) or gone (returned or terminated)",
		[]argument{need(text("machine", "name of the machine"))}, show(func(w *World, a Args) string { return w.cloud.machineState(a["machine"]) })},
	"starts":           {"prints the number of starts that workers executed", nil, count(func(w *World) int { return w.check.starts })},
	"connected":        {"prints how many workers are connected to each controller", nil, show(workersByController)},
	"unanswered":       {"prints the number of workers' reports that got no answer", nil, count(func(w *World) int { return w.check.unanswered })},
	"after":            {"prints the number of starts after an acknowledged cancellation", nil, count(func(w *World) int { return w.check.after })},
	"refused":          {"prints the number of requests refused by the state service's rates", nil, count(func(w *World) int { return w.state.refused })},
	"oversized_writes": {"prints the number of writes refused for their size", nil, count(func(w *World) int { return w.state.tooLarge })},
	"provisioned":      {"prints the number of machines that controllers have provisioned so far", nil, count((*World).provisioned)},
	"attempts":         {"prints the number of starts that workers executed for a job, from when its image was fetched; each task of a gang's attempt counts", onlyID, countOfJob(func(j *job) int { return j.attempts })},
	"stopped": {"prints the number of tasks, of a job or of all, that a command stopped while their job was neither finished nor cancelled",
		[]argument{text("id", "job ID, all if absent")}, show(stoppedTasks)},
}

// count makes a runner of what prints a number.
func count(number func(w *World) int) runner {
	return show(func(w *World, _ Args) string { return strconv.Itoa(number(w)) })
}

// workDone checks how much work the controllers did, all together: of the
// bytes of reports they may decode so many hundredths, in a round count the
// machine capacities of so many machines anew, and make so many writes in all.
func workDone(w *World, a Args) string {
	var sum controller.WorkCounters
	for _, n := range w.nodes {
		one := n.core.WorkCounters()
		sum.Heartbeats += one.Heartbeats
		sum.Decoded += one.Decoded
		sum.Unchanged += one.Unchanged
		sum.Rounds += one.Rounds
		sum.CapacitiesRecomputed += one.CapacitiesRecomputed
	}
	if float64(sum.Decoded) <= a.num("decoded", "0")/100*float64(sum.Decoded+sum.Unchanged) &&
		float64(sum.CapacitiesRecomputed) <= a.num("counted", "0") &&
		w.state.written <= int(a.num("writes", "0")) {
		return "within"
	}
	return fmt.Sprintf("%+v, %d writes", sum, w.state.written)
}

// tasksOf lists the tasks of a job that are on machines.
func (w *World) tasksOf(id string) (tasks []*task) {
	for _, t := range w.check.onMachines() {
		if t.job.id == id {
			tasks = append(tasks, t)
		}
	}
	return tasks
}

func tasksByZone(w *World, a Args) string {
	zone := map[string]int{}
	for _, t := range w.tasksOf(a["id"]) {
		zone[t.on.zone]++
	}
	if a.flag("either") {
		return fmt.Sprintf("%d+%d", max(zone["a"], zone["b"]), min(zone["a"], zone["b"]))
	}
	return fmt.Sprintf("a=%d b=%d", zone["a"], zone["b"])
}

func machinesByType(w *World, _ Args) string {
	types := map[string]int{}
	for _, m := range w.cloud.machines {
		types[m.machineType]++
	}
	return countsText(types)
}

func machinesOfJob(w *World, a Args) string {
	machines := map[string]bool{}
	slow := 0
	for _, t := range w.tasksOf(a["id"]) {
		if !machines[t.on.name] && t.on.slow > 0 {
			slow++
		}
		machines[t.on.name] = true
	}
	return fmt.Sprintf("%d of them slow: %d", len(machines), slow)
}

func runningTasks(w *World, a Args) string { return strconv.Itoa(len(w.tasksOf(a["id"]))) }

// countOfJob makes a runner of what prints a number of a submitted job.
func countOfJob(number func(j *job) int) runner {
	return func(w *World, a Args, _ string) (string, error) {
		j := w.jobs[a["id"]]
		if j == nil {
			return "", errors.New("the job was not submitted")
		}
		return strconv.Itoa(number(j)), nil
	}
}

func workersByController(w *World, _ Args) string {
	var parts []string
	for _, n := range w.nodes {
		parts = append(parts, fmt.Sprintf("%s=%d", n.name, len(n.connected)))
	}
	return strings.Join(parts, " ")
}

func leaderName(w *World, _ Args) string {
	if l := w.Leader(); l != nil {
		return l.name
	}
	return "nobody"
}

func machineName(w *World, a Args) string {
	k := w.machineOf(a["task"])
	if k == nil {
		return errNotOnMachine.Error()
	}
	return k.name
}

// machineState tells what the cloud has of a machine.
func (c *cloud) machineState(name string) string {
	m := c.machines[name]
	switch {
	case m == nil:
		return "gone"
	case m.worker == nil:
		return "booting"
	case !m.worker.up:
		return "failed"
	}
	return "up"
}

// provisioned counts the machines that controllers have provisioned.
func (w *World) provisioned() int {
	sum := 0
	for _, names := range w.cloud.provisioned {
		sum += len(names)
	}
	return sum
}

func stoppedTasks(w *World, a Args) string {
	sum := 0
	for id, j := range w.jobs {
		if wanted, ok := a["id"]; !ok || wanted == id {
			sum += j.stopped
		}
	}
	return strconv.Itoa(sum)
}

// Keys lists what the state service holds below a prefix.
func (w *World) Keys(prefix string) []string {
	var keys []string
	for k, v := range w.state.keys {
		if strings.HasPrefix(k, prefix) {
			keys = append(keys, fmt.Sprintf("%s %s", k, v.data))
		}
	}
	sort.Strings(keys)
	return keys
}
