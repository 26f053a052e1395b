package simtest

import (
	"fmt"
	"strconv"
)

// doFailures carries out the commands of machines that fail tasks, and those that
// count what was done.
//
//   - faulty machine=NAME | task=REQ/N | zone=ZONE: every task that starts on the
//     machine from now on exits with cause "error" shortly after it began to run.
//     In a gang that task exits with "error" and the others with "peers". Tasks that
//     run already go on.
//   - repair machine=NAME | task=REQ/N | zone=ZONE: ends that.
//   - machine_of task=REQ/N: prints the machine that a task is on.
//   - machine_state machine=NAME: prints whether the machine is booting, up, failed
//     (its worker ended, the cloud still has it) or gone (returned or terminated).
//   - attempts id=REQ: prints the number of starts that workers executed for a job,
//     from when its image was fetched; each task of a gang's attempt counts.
//   - stopped [id=REQ]: prints the number of tasks, of that job or of all, that a
//     command stopped while their job was neither finished nor cancelled.
//   - provisioned: prints the number of machines that controllers have provisioned.
func (w *World) doFailures(cmd string, a Args) string {
	switch cmd {
	case "faulty", "repair":
		machines, missing := w.chosenMachines(a)
		if missing != "" {
			return missing
		}
		for _, k := range machines {
			k.faulty = cmd == "faulty"
		}
	case "machine_of":
		k := w.machineOf(a["task"])
		if k == nil {
			return "not on a machine"
		}
		return k.name
	case "machine_state":
		return w.cloud.machineState(a["machine"])
	case "attempts":
		j := w.jobs[a["id"]]
		if j == nil {
			return "no job " + a["id"]
		}
		return strconv.Itoa(j.attempts)
	case "stopped":
		sum := 0
		for id, j := range w.jobs {
			if wanted, ok := a["id"]; !ok || wanted == id {
				sum += j.stopped
			}
		}
		return strconv.Itoa(sum)
	case "provisioned":
		sum := 0
		for _, names := range w.cloud.provisioned {
			sum += len(names)
		}
		return strconv.Itoa(sum)
	default:
		return w.trouble(cmd, a)
	}
	return "ok"
}

// chosenMachines finds the machines that a command names: machine=NAME, all that
// are up in zone=ZONE, or the one that task=REQ/N is on.
func (w *World) chosenMachines(a Args) (machines []*worker, missing string) {
	if zone, ok := a["zone"]; ok {
		for _, k := range w.Workers() {
			if k.up && k.zone == zone {
				machines = append(machines, k)
			}
		}
		return machines, ""
	}
	if name, ok := a["machine"]; ok {
		for _, k := range w.workers {
			if k.up && k.name == name {
				return []*worker{k}, ""
			}
		}
		return nil, fmt.Sprintf("no machine %s is up", name)
	}
	if k := w.machineOf(a["task"]); k != nil {
		return []*worker{k}, ""
	}
	return nil, "not on a machine"
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
